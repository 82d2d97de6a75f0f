/**
 * How urgent a call to the store is, told from its keys.
 */
import type { CallClass } from '@auburnpin/ports'
import { CELLS_PREFIX, JOURNAL_PREFIX, MEMBERS_PREFIX } from './storeKeys.ts'

const OWNERSHIP_PREFIXES: readonly string[] = [MEMBERS_PREFIX, CELLS_PREFIX]

/**
 * The class of a call on these rows: leases and ownership first, then starts and finishes.
 *
 * @example
 * callClassOf(['members/colombo-1']) // 'ownership'
 */
export const callClassOf = (keys: readonly string[]): CallClass => {
  const [first = ''] = keys
  if (OWNERSHIP_PREFIXES.some(prefix => first.startsWith(prefix))) return 'ownership'
  return first.startsWith(JOURNAL_PREFIX) ? 'journal' : 'other'
}
