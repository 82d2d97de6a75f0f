/**
 * Regenerates the JSON schemas and the reference tables.
 */
import { writeFileSync } from 'node:fs'
import { generatedFiles } from './reference/generatedFiles.ts'

for (const { path, content } of generatedFiles()) writeFileSync(path, content)
