/**
 * Orders to stop what must not go on at a worker.
 */
import type { Instant } from '@auburnpin/common'
import { STOP_RETRY_MS } from './constants.ts'
import type { RunOrder } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The orders due now: runs that are to stop, and runs of no known task. An order is repeated until the run's
 * end is listed. A run whose order to start has no answer yet waits for it.
 *
 * @example
 * orders.push(...stopOrders(worker, now))
 */
export function * stopOrders (worker: WorkerRecord, now: Instant): Generator<RunOrder> {
  const { id, address } = worker.entry
  for (const run of worker.runs.values()) {
    if (!run.isStopWanted || run.state === 'ordered' || isRecent(run.stopSentAt, now)) continue
    run.stopSentAt = now
    yield { kind: 'stop', worker: id, address, task: run.task.name, attempt: run.attempt }
  }
  for (const stranger of worker.strangers.values()) {
    if (isRecent(stranger.stopSentAt, now)) continue
    stranger.stopSentAt = now
    yield { kind: 'stop', worker: id, address, task: stranger.task, attempt: stranger.attempt }
  }
}

const isRecent = (sentAt: Instant | undefined, now: Instant): boolean => sentAt !== undefined && now - sentAt < STOP_RETRY_MS
