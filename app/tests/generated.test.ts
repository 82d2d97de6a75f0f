import { readdirSync, readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { METRIC_NAMES } from '@auburnpin/common'
import { generatedFiles } from '../../scripts/reference/generatedFiles.ts'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

const sourcesUnder = (folder: string): string[] => readdirSync(`${ROOT}${folder}`, { recursive: true, encoding: 'utf8' })
  .filter(path => path.endsWith('.ts') && path.includes('src/') && !path.includes('node_modules'))
  .map(path => `${ROOT}${folder}/${path}`)

test('schemas and reference tables are up to date; npm run generate updates them', t => {
  for (const { path, content } of generatedFiles()) t.is(readFileSync(path, 'utf8'), content, path)
})

test('every metric of the reference table is reported somewhere in the sources', t => {
  const sources = [...sourcesUnder('packages'), ...sourcesUnder('app'), ...sourcesUnder('platform')]
    .filter(path => !path.endsWith('metricReference.ts'))
    .map(path => readFileSync(path, 'utf8')).join('\n')
  for (const name of METRIC_NAMES) t.regex(sources, new RegExp(`(count|gauge|timing)\\([^)]*'${name.replace('.', '\\.')}'`), name)
})
