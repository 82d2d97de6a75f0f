/**
 * What the response to an order to start shows of a run.
 */
import type { Instant } from '@auburnpin/common'
import type { RunRecord } from './TaskRecord.ts'

/**
 * Records that a run has just started, and the worker's clock if the response has it.
 *
 * @example
 * recordStarted(run, now, clockMs)
 */
export const recordStarted = (run: RunRecord, now: Instant, clockMs?: number): void => {
  run.startedAt ??= now
  run.confirmedAtClockMs ??= clockMs
  // The progress of a run that continues from a checkpoint doesn't begin at 0.
  if (clockMs !== undefined && !run.isFromCheckpoint) run.firstProgress ??= { percent: 0, clockMs }
}
