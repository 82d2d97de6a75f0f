/**
 * Whether a job can still end in time.
 */
import { AFFORDABLE_SLACK_SHARE } from './constants.ts'
import type { StepRecord } from './StepRecord.ts'

/** Whether a job can still end within its objective, late but useful, or too late to be useful. */
export const IN_TIME = 0
export const LATE = 1
export const USELESS = 2

/**
 * Timeliness of a job if a step of it starts now, by the client's estimates; long-running jobs are always in time.
 *
 * @example
 * if (timelinessOf(step, wallTime) === USELESS) return
 */
export const timelinessOf = ({ job, occurrence, number, shape }: StepRecord, wallTime: number): number => {
  if (shape.isLasting) return IN_TIME
  const endsAt = wallTime + job.remainingMs(number)
  if (endsAt <= job.objectiveAt(occurrence)) return IN_TIME
  return endsAt <= job.uselessAfter(occurrence) ? LATE : USELESS
}

/**
 * Whether a job in time has too little slack left to go on waiting.
 *
 * @example
 * if (hasUsedSlack(step, wallTime)) held.hold(task, workers, now)
 */
export const hasUsedSlack = ({ job, occurrence, number }: StepRecord, wallTime: number): boolean =>
  job.objectiveAt(occurrence) - wallTime - job.remainingMs(number) < job.slackMs * AFFORDABLE_SLACK_SHARE
