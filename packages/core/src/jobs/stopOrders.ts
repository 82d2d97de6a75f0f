/**
 * Orders to stop runs on a worker.
 */
import type { Instant } from '@auburnpin/common'
import { STOP_RETRY_MS } from './constants.ts'
import type { RunOrder } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The orders due now, for runs that are to stop and for runs of unknown tasks. An order is repeated until the run has
 * ended. A run whose order to start is still in progress is stopped after the response.
 *
 * @example
 * orders.push(...stopOrders(worker, now))
 */
export function * stopOrders (worker: WorkerRecord, now: Instant): Generator<RunOrder> {
  const { id, address } = worker.entry
  for (const run of worker.runs.values()) {
    if (!run.isStopRequested || run.state === 'ordered' || isRecent(run.stopOrderSentAt, now)) continue
    run.stopOrderSentAt = now
    yield { kind: 'stop', worker: id, address, task: run.task.name, attempt: run.attempt }
  }
  for (const unknownRun of worker.unknownRuns.values()) {
    if (isRecent(unknownRun.stopOrderSentAt, now)) continue
    unknownRun.stopOrderSentAt = now
    yield { kind: 'stop', worker: id, address, task: unknownRun.task, attempt: unknownRun.attempt }
  }
}

const isRecent = (sentAt: Instant | undefined, now: Instant): boolean => sentAt !== undefined && now - sentAt < STOP_RETRY_MS
