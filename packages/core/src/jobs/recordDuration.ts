/**
 * Durations of runs that are known well enough to learn from.
 */
import type { Instant } from '@auburnpin/common'
import type { LearntDurations } from './LearntDurations.ts'
import type { RunRecord } from './TaskRecord.ts'

/** Longest time since the worker's report before, in milliseconds: an end that is reported later may be as old. A report is due every 1.5 s. */
const MAX_REPORT_GAP_MS = 2_000

/**
 * Records the duration of a run that has just been reported as done, unless its start or end is not known well it
 * continued from a checkpoint, or it was slowed down.
 *
 * @example
 * if (ending === 'done') recordDuration(run, durations, now)
 */
export const recordDuration = ({ startedAt, isFromCheckpoint, wasSlowedDown, worker, task }: RunRecord, durations: LearntDurations, now: Instant): void => {
  if (startedAt === undefined || isFromCheckpoint || wasSlowedDown || task.step.shape.isLasting || now - worker.reportedAt > MAX_REPORT_GAP_MS) return
  durations.record(task.step, now - startedAt, now)
}
