/**
 * Formats the keys of a JSON schema as a Markdown table.
 */
import type { JsonSchema } from './jsonSchemas.ts'

const HEADER = ['| key | value | default | meaning |', '|---|---|---|---|']

/**
 * The table, with one row per key; `NAME` stands for any name and `[]` for each item of a list. Keys nested in a key
 * of `unexpanded` are omitted.
 */
export const keyTable = (schema: JsonSchema, unexpanded: readonly string[] = []): string =>
  [...HEADER, ...rowsOf(schema, '', unexpanded)].join('\n')

const rowsOf = (schema: JsonSchema, prefix: string, unexpanded: readonly string[] = []): string[] => {
  const rows: string[] = []
  for (const [name, part] of Object.entries(schema.properties ?? {})) {
    const key = `${prefix}${name}`
    const isRequired = schema.required?.includes(name) === true
    rows.push(`| \`${key}\` | ${valueOf(part)} | ${defaultOf(part, isRequired)} | ${escapePipes(part.description ?? '')} |`)
    if (!unexpanded.includes(key)) rows.push(...nestedRows(part, key))
  }
  return rows
}

const nestedRows = (part: JsonSchema, key: string): string[] => {
  if (part.properties !== undefined) return rowsOf(part, `${key}.`)
  if (part.items?.properties !== undefined) return rowsOf(part.items, `${key}[].`)
  const { additionalProperties } = part
  if (typeof additionalProperties !== 'object') return []
  return rowsOf(additionalProperties, `${key}.NAME.`)
}

const valueOf = (part: JsonSchema): string => {
  if (part.enum !== undefined) return part.enum.map(value => `\`${String(value)}\``).join(', ')
  if (part.type === 'array') return `list of ${part.items?.properties === undefined ? valueOf(part.items ?? {}) : 'objects'}`
  if (typeof part.additionalProperties === 'object') return 'objects by name'
  if (part.pattern?.includes('\\d{1,5}') === true) return 'IP:port'
  const isWhole = part.type === 'integer'
  if (isWhole || part.type === 'number') return `${isWhole ? 'whole number' : 'number'}${rangeOf(part)}`
  if (part.minLength !== undefined && part.minLength > 1) return `text of at least ${part.minLength} characters`
  return part.type === 'string' ? 'text' : part.type ?? ''
}

const rangeOf = ({ minimum, maximum }: JsonSchema): string => {
  const isBounded = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER
  if (minimum !== undefined && isBounded) return ` ${minimum} to ${maximum}`
  return minimum === undefined ? '' : ` from ${minimum}`
}

const defaultOf = (part: JsonSchema, isRequired: boolean): string => {
  if (isRequired) return 'required'
  const isPlain = part.default !== undefined && typeof part.default !== 'object'
  if (isPlain) return `\`${String(part.default)}\``
  return Array.isArray(part.default) && part.default.length > 0 ? `\`${part.default.join(', ')}\`` : 'none'
}

const escapePipes = (text: string): string => text.replaceAll('|', '\\|')
