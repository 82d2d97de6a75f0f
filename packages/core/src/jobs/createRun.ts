/**
 * Creation of run records.
 */
import type { Attempt, Instant } from '@auburnpin/common'
import { ServingPressure } from './ServingPressure.ts'
import { FULL_PACE, type RunRecord, type TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Creates a run without any reported values, at full pace or at `pacePercent` of it.
 *
 * @example
 * worker.addRun(createRun(task, attempt, worker, 'ordered', now))
 */
export const createRun = (task: TaskRecord, attempt: Attempt, worker: WorkerRecord, state: RunRecord['state'], now: Instant, pacePercent = FULL_PACE): RunRecord =>
  ({ task, attempt, worker, state, orderedAt: now, isCopy: state === 'ordered' && task.runs.length > 0, isFromCheckpoint: task.checkpoint !== '', since: now, isReported: false, isAnswered: false, hasSurvivedStart: false, isFromLostIncarnation: false, isStopRequested: false, wasSlowedDown: false, pacePercent, orderedPacePercent: FULL_PACE, pressure: new ServingPressure() })
