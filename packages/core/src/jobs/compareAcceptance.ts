/**
 * Order of steps by the acceptance of their jobs.
 */
import type { StepRecord } from './StepRecord.ts'

/**
 * Compares two steps for sorting: the one first whose job could start first. Equal for no two steps and the same for every owner.
 *
 * @example
 * steps.sort(compareAcceptance)
 */
export const compareAcceptance = (one: StepRecord, other: StepRecord): number =>
  one.job.startsAt(one.occurrence) - other.job.startsAt(other.occurrence) ||
  (one.job === other.job ? one.occurrence - other.occurrence || one.number - other.number : one.job.job.id < other.job.job.id ? -1 : 1)
