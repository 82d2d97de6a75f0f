/**
 * The reference tables of docs/, generated from the code.
 */
import { ERROR_KINDS, ERROR_REFERENCE, METRIC_NAMES, METRICS } from '@auburnpin/common'
import { STATUS_OF_KIND } from '@auburnpin/gateway'
import { exitCodeOf } from '../../app/src/exitCodes.ts'
import { JSON_SCHEMAS } from './jsonSchemas.ts'
import { keyTable } from './keyTable.ts'

const errorTable = (): string => [
  '| kind | HTTP status | exit code | meaning | remedy |',
  '|---|---|---|---|---|',
  ...ERROR_KINDS.map(kind => `| \`${kind}\` | ${STATUS_OF_KIND[kind]} | ${exitCodeOf(kind)} | ${ERROR_REFERENCE[kind].meaning} | ${ERROR_REFERENCE[kind].remedy} |`)
].join('\n')

const metricTable = (): string => [
  '| metric | type | unit | tags | meaning | when to worry |',
  '|---|---|---|---|---|---|',
  ...METRIC_NAMES.map(name => {
    const { type, unit, tags, meaning, worry } = METRICS[name]
    return `| \`auburnpin.${name}\` | ${type} | ${unit} | ${tags.join(', ') || 'none'} | ${meaning} | ${worry} |`
  })
].join('\n')

/** Functions that generate the table of each page, by file name. */
export const REFERENCE_TABLES: Readonly<Record<string, () => string>> = {
  'SETTINGS.md': () => keyTable(JSON_SCHEMAS['settings.schema.json'] ?? {}),
  'RELEASE-NOTES.md': () => keyTable(JSON_SCHEMAS['note.schema.json'] ?? {}, ['changed']),
  'ERRORS.md': errorTable,
  'METRICS.md': metricTable
}
