/**
 * Runs that a reborn worker may still have.
 */
import { brand, type Instant } from '@auburnpin/common'
import { MAX_ORDER_DELAY_MS, MAX_WORKER_LEASE_MS } from './constants.ts'
import type { RunRecord } from './TaskRecord.ts'
import { leaseExpiry } from './leaseExpiry.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The run as it is kept for the next incarnation of its worker, which its order may still reach or has reached.
 *
 * @example
 * current.addRun(moveRun(run, current, now))
 */
export const moveRun = (run: RunRecord, current: WorkerRecord, now: Instant): RunRecord => {
  const isAnswered = run.state === 'running'
  // A long-running task must not be away for that long; it is the likelier case that the worker has left.
  const keptUntil = isAnswered || run.task.step.shape.isLasting ? run.keptUntil : leaseExpiry(MAX_WORKER_LEASE_MS, brand<Instant>(Math.max(now, (run.sentAt ?? run.orderedAt) + MAX_ORDER_DELAY_MS)))
  return {
    ...run,
    since: isAnswered ? run.since : now,
    keptUntil,
    worker: current,
    confirmedAtClockMs: undefined,
    firstProgress: undefined,
    lastProgress: undefined,
    isFromLostIncarnation: !run.worker.entry.isDraining,
    stopOrderSentAt: undefined,
    stopAcceptedAt: undefined
  }
}
