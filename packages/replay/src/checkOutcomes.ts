/**
 * Compares a summary with the outcomes that its trace states.
 */
import type { MissedOutcome, Summary } from './Summary.ts'
import type { Trace } from './Trace.ts'

/** Returns the stated outcomes that were not met. */
export const checkOutcomes = (trace: Trace, summary: Summary): MissedOutcome[] => {
  const missed: MissedOutcome[] = []
  for (const { measure, atMost, atLeast } of trace.linesOf('outcome')) {
    const value = summary[measure]
    const isMet = value <= (atMost ?? Infinity) && value >= (atLeast ?? -Infinity)
    if (!isMet) missed.push({ measure, value, atMost, atLeast })
  }
  return missed
}
