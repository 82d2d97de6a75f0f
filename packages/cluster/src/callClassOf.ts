/**
 * Derives the class (urgency) of a store call from the keys that it touches.
 */
import type { CallClass } from '@auburnpin/ports'
import { CELLS_PREFIX, JOURNAL_PREFIX, MEMBERS_PREFIX } from './storeKeys.ts'

const OWNERSHIP_PREFIXES: readonly string[] = [MEMBERS_PREFIX, CELLS_PREFIX]

/**
 * Returns the class of a call on these keys: leases and ownership come first, then the journal of task starts and ends.
 *
 * @example
 * callClassOf(['members/colombo-1']) // 'ownership'
 */
export const callClassOf = (keys: readonly string[]): CallClass => {
  const [first = ''] = keys
  if (OWNERSHIP_PREFIXES.some(prefix => first.startsWith(prefix))) return 'ownership'
  return first.startsWith(JOURNAL_PREFIX) ? 'journal' : 'other'
}
