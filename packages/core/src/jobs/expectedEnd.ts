/**
 * Expected durations of tasks and ends of runs.
 */
import type { Instant } from '@auburnpin/common'
import type { StepRecord } from './StepRecord.ts'
import type { RunRecord } from './TaskRecord.ts'
import { expectedMs } from './taskWork.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Progress from which a run's own pace is extrapolated; below, rounding to whole percents and the delay of reports weigh too much. */
const MIN_PROGRESS_PERCENT = 10

/** Remaining share of the time so far that is expected of a run that has lasted longer than expected. */
const OVERRUN_SHARE = 0.25

/**
 * The expected duration of one task of a step where it runs fastest, in milliseconds. All forecasts of waits for a place
 * read it here, so that learnt durations can replace the client's estimate.
 *
 * @example
 * expectedRunMs(step) // 2_200
 */
export const expectedRunMs = ({ shape }: StepRecord): number => expectedMs(shape)

/**
 * Whether a worker is in the rack that holds the data of a step; `true` for steps without one.
 *
 * @example
 * isNearData(step, worker)
 */
export const isNearData = ({ shape: { dataRack } }: StepRecord, { entry }: WorkerRecord): boolean =>
  dataRack === '' || entry.labels.includes(dataRack)

/**
 * The milliseconds until a run is expected to end; infinite for long-running tasks. A run that has made progress is
 * expected to go on at its own pace, since estimates of clients are off by half to nine tenths.
 *
 * @example
 * expectedRestMs(run, 1.5, now) // 640
 */
export const expectedRestMs = (run: RunRecord, remoteFactor: number, now: Instant): number => {
  const { task: { step }, worker, orderedAt, sentAt, progressPercent = 0, progressedAt } = run
  if (step.shape.isLasting) return Infinity
  const elapsedMs = now - (sentAt ?? orderedAt)
  // The start of a run that an earlier owner ordered is unknown, and so is its pace.
  const isPaceKnown = sentAt !== undefined && progressedAt !== undefined && progressPercent >= MIN_PROGRESS_PERCENT
  const totalMs = isPaceKnown
    ? (progressedAt - sentAt) * 100 / progressPercent
    : expectedRunMs(step) * (isNearData(step, worker) ? 1 : remoteFactor) * (sentAt === undefined ? 1 - progressPercent / 100 : 1)
  return totalMs > elapsedMs ? totalMs - elapsedMs : elapsedMs * OVERRUN_SHARE
}
