/**
 * Compares a summary with what its trace states.
 */
import type { Miss, Summary } from './Summary.ts'
import type { Trace } from './Trace.ts'

/** The stated outcomes that were not met. */
export const checkOutcomes = (trace: Trace, summary: Summary): Miss[] => {
  const misses: Miss[] = []
  for (const { measure, atMost, atLeast } of trace.of('outcome')) {
    const value = summary[measure]
    const isMet = value <= (atMost ?? Infinity) && value >= (atLeast ?? -Infinity)
    if (!isMet) misses.push({ measure, value, atMost, atLeast })
  }
  return misses
}
