import { readFileSync } from 'node:fs'
import test from 'ava'
import { generatedFiles } from '../../scripts/reference/generatedFiles.ts'

test('schemas and reference tables are up to date; npm run generate mends them', t => {
  for (const { path, content } of generatedFiles()) t.is(readFileSync(path, 'utf8'), content, path)
})
