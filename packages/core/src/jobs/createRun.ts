/**
 * A run as it begins.
 */
import type { Attempt, Instant } from '@auburnpin/common'
import { ServingTail } from './ServingTail.ts'
import { FULL_PACE, type RunRecord, type TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * A run in a state, at its full pace, of which nothing has been reported.
 *
 * @example
 * worker.add(createRun(task, attempt, worker, 'ordered', now))
 */
export const createRun = (task: TaskRecord, attempt: Attempt, worker: WorkerRecord, state: RunRecord['state'], now: Instant): RunRecord =>
  ({ task, attempt, worker, state, orderedAt: now, since: now, isStopWanted: false, pacePercent: FULL_PACE, paceOrdered: FULL_PACE, tail: new ServingTail() })
