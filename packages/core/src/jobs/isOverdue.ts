/**
 * Whether a job has been useless for long.
 */
import { OVERDUE_USEFUL_TIMES } from './constants.ts'
import type { StepRecord } from './StepRecord.ts'

/**
 * Whether the job of a step has taken more than `OVERDUE_USEFUL_TIMES` as long as it was useful, whatever its steps.
 *
 * @example
 * isOverdue(step, wallTime) // false
 */
export const isOverdue = ({ job, occurrence }: StepRecord, wallTime: number): boolean => {
  const startsAt = job.startsAt(occurrence)
  return wallTime - startsAt > OVERDUE_USEFUL_TIMES * (job.uselessAfter(occurrence) - startsAt)
}
