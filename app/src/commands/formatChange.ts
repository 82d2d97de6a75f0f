/**
 * Formats the changes that a release note makes.
 */
import type { ConfigurationChange } from '@auburnpin/core'

const SIGNS = { added: '+', changed: '~', withdrawn: '-' } as const

/**
 * Returns one line for the declaration and, if it was changed, one line for each key whose value differs.
 *
 * @example
 * formatChange({ action: 'changed', section: 'services', name: 'stockline', before: { slots: 8 }, after: { slots: 4 } })
 * // ['~ services.stockline', '    slots: 8 -> 4']
 */
export const formatChange = (change: ConfigurationChange): string[] => {
  const title = `${SIGNS[change.action]} ${change.section}.${change.name}`
  if (change.action !== 'changed') return [title]
  const before = flatten(change.before)
  const after = flatten(change.after)
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort()
  const differing = keys.filter(key => before.get(key) !== after.get(key))
  return [title, ...differing.map(key => `    ${key}: ${before.get(key) ?? 'none'} -> ${after.get(key) ?? 'none'}`)]
}

// Maps dotted keys to values, so that two declarations can be compared key by key.
const flatten = (value: unknown, prefix = ''): Map<string, string> => {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return new Map([[prefix, JSON.stringify(value) ?? 'none']])
  const flat = new Map<string, string>()
  for (const [key, part] of Object.entries(value)) {
    for (const [path, text] of flatten(part, prefix === '' ? key : `${prefix}.${key}`)) flat.set(path, text)
  }
  return flat
}
