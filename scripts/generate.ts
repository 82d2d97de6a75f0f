/**
 * Writes the JSON schemas and the reference tables anew.
 */
import { writeFileSync } from 'node:fs'
import { generatedFiles } from './reference/generatedFiles.ts'

for (const { path, content } of generatedFiles()) writeFileSync(path, content)
