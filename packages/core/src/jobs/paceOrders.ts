/**
 * Orders that set the pace of a worker's fillers.
 */
import type { Instant } from '@auburnpin/common'
import { PACE_RETRY_MS } from './constants.ts'
import { FULL_PACE } from './TaskRecord.ts'
import type { RunOrder } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The orders due now. An order that got no response is repeated.
 *
 * @example
 * orders.push(...paceOrders(worker, now))
 */
export function * paceOrders (worker: WorkerRecord, now: Instant): Generator<RunOrder> {
  if (worker.fillerRuns === 0) return
  for (const run of worker.runs.values()) {
    if (!run.task.step.shape.isFiller || run.state !== 'running' || run.isStopRequested || run.orderedPacePercent === run.pacePercent) continue
    if (run.orderedPacePercent < 0 && run.paceOrderSentAt !== undefined && now - run.paceOrderSentAt < PACE_RETRY_MS) continue
    run.orderedPacePercent = run.pacePercent
    if (run.pacePercent < FULL_PACE) run.wasSlowedDown = true
    run.paceOrderSentAt = now
    yield { kind: 'pace', worker: worker.entry.id, address: worker.entry.address, task: run.task.name, attempt: run.attempt, percent: run.pacePercent }
  }
}
