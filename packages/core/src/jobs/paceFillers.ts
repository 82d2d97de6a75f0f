/**
 * Orders that bring a worker's fillers to the pace that its serving tasks allow.
 */
import type { Instant } from '@auburnpin/common'
import { PACE_RETRY_MS } from './constants.ts'
import type { RunOrder } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The orders due now; one that got no answer is repeated.
 *
 * @example
 * orders.push(...paceFillers(worker, now))
 */
export function * paceFillers (worker: WorkerRecord, now: Instant): Generator<RunOrder> {
  if (worker.fillerRuns === 0) return
  for (const run of worker.runs.values()) {
    if (!run.task.step.shape.isFiller || run.state !== 'running' || run.isStopWanted || run.paceOrdered === run.pacePercent) continue
    if (run.paceOrdered < 0 && run.paceSentAt !== undefined && now - run.paceSentAt < PACE_RETRY_MS) continue
    run.paceOrdered = run.pacePercent
    run.paceSentAt = now
    yield { kind: 'pace', worker: worker.entry.id, address: worker.entry.address, task: run.task.name, attempt: run.attempt, percent: run.pacePercent }
  }
}
