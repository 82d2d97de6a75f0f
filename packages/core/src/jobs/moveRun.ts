/**
 * Runs that a reborn worker may still have.
 */
import type { Instant } from '@auburnpin/common'
import type { RunRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The run as it is kept for the next incarnation of its worker, which its order may still reach or has reached.
 *
 * @example
 * current.addRun(moveRun(run, current, now))
 */
export const moveRun = (run: RunRecord, current: WorkerRecord, now: Instant): RunRecord => ({
  ...run,
  since: run.state === 'running' ? run.since : now,
  worker: current,
  confirmedAtClockMs: undefined,
  firstProgress: undefined,
  lastProgress: undefined,
  isFromLostIncarnation: !run.worker.entry.isDraining,
  stopOrderSentAt: undefined,
  stopAcceptedAt: undefined
})
