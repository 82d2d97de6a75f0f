/**
 * Orders that bring a worker's fillers to the pace that its serving tasks allow.
 */
import type { Instant } from '@auburnpin/common'
import { PACE_RETRY_MS } from './constants.ts'
import { FULL_PACE } from './FillerPacing.ts'
import type { RunOrder } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The orders due now. A run's pace as reported counts, so an order that came late or never is repeated.
 *
 * @example
 * orders.push(...paceFillers(worker, now))
 */
export function * paceFillers (worker: WorkerRecord, now: Instant): Generator<RunOrder> {
  if (worker.fillerRuns === 0) return
  const { percent } = worker.pacing
  for (const run of worker.runs.values()) {
    if (!run.task.step.shape.isFiller || run.state !== 'running' || run.isStopWanted) continue
    const isNew = run.paceOrdered !== percent
    if (isNew ? (run.paceOrdered ?? FULL_PACE) === percent && (run.pacePercent ?? FULL_PACE) === percent : (run.pacePercent ?? FULL_PACE) === percent) continue
    if (!isNew && run.paceSentAt !== undefined && now - run.paceSentAt < PACE_RETRY_MS) continue
    run.paceOrdered = percent
    run.paceSentAt = now
    yield { kind: 'pace', worker: worker.entry.id, address: worker.entry.address, task: run.task.name, attempt: run.attempt, percent }
  }
}
