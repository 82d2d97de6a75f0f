/**
 * Reasons why a task can't start on a worker now.
 */
import type { Instant } from '@auburnpin/common'
import { MAX_PLACING_PRESSURE } from './constants.ts'
import type { FillerInterference } from './FillerInterference.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** The first of these that applies keeps a task from a worker. */
export type Obstacle =
  | 'other-service'
  /** The worker's data centre is evacuated, or was a short time ago. */
  | 'evacuated'
  /** The worker drains, is paused, isn't listed, doesn't respond or still runs a task of an unknown job. */
  | 'unavailable'
  | 'label'
  /** The worker already runs as many tasks of the step as the step allows. */
  | 'tasks-per-worker'
  /** The worker could not hold the task even if it were empty. */
  | 'too-small'
  | 'memory'
  | 'accelerators'
  | 'processors'
  /** The task has crashed workers and other runs have just started there, or the other way round; or it is uncertain whether it has crashed the last one. */
  | 'trial'
  /** The task is a filler that would slow down serving tasks too much. */
  | 'pressure'
  /** The worker is reserved for short tasks and restarts: one of the constant share, or one that the demand of short tasks adds to it. */
  | 'reserved'
  /** The task would take capacity that is held for another one. */
  | 'held'

/**
 * Returns what keeps a task from a worker however few other tasks run there, apart from those of its own step.
 *
 * @example
 * if (findFixedObstacle(task, worker, now) !== undefined) continue
 */
export const findFixedObstacle = (task: TaskRecord, worker: WorkerRecord, now: Instant): Obstacle | undefined => {
  const { step, runs } = task
  const { shape } = step
  const { entry } = worker
  if (entry.service !== step.job.job.policy.service) return 'other-service'
  if (!(task.isInterrupted ? worker.acceptsRestarts(now) : worker.acceptsWork(now))) return worker.evacuation === 'none' ? 'unavailable' : 'evacuated'
  if (shape.requiredLabel !== '' && !entry.labels.includes(shape.requiredLabel)) return 'label'
  if (shape.processors > entry.processors || shape.memoryMb > entry.memoryMb || shape.accelerators > entry.accelerators) return 'too-small'
  if (task.recordedCrashes?.areUncertain === true) return 'trial'
  if (runs.some(run => run.worker === worker)) return 'tasks-per-worker'
  if (shape.maxPerWorker > 0 && countRunsOfStep(step, worker) >= shape.maxPerWorker) return 'tasks-per-worker'
  return undefined
}

/**
 * Returns what keeps a task from a worker, apart from processors in use and the pressure that it would add.
 *
 * @example
 * if (findConstraint(task, worker, held, now) !== undefined) continue
 */
export const findConstraint = (task: TaskRecord, worker: WorkerRecord, held: HeldWorkers, now: Instant): Obstacle | undefined => {
  const fixed = findFixedObstacle(task, worker, now)
  if (fixed !== undefined) return fixed
  const { shape } = task.step
  if (task.isOnTrial ? worker.hasNewRuns : worker.hasTrial) return 'trial'
  // A filler that interferes little by itself would still delay the recovery of the serving tasks.
  if (shape.isFiller && worker.pacing.isRecovering(now)) return 'pressure'
  // Its capacity may have shrunk below what its other tasks reserve; then not even a filler, whose processors don't count, fits.
  if (shape.isFiller && worker.processorsUsed > worker.entry.processors) return 'processors'
  if (worker.memoryUsedMb + shape.memoryMb > worker.entry.memoryMb) return 'memory'
  if (worker.acceleratorsUsed + shape.accelerators > worker.entry.accelerators) return 'accelerators'
  return held.accepts(task, worker) ? undefined : 'held'
}

/**
 * Returns what keeps a task from a worker; `undefined` if it can start there.
 *
 * @example
 * findObstacle(task, worker, held, interference, now) // 'processors'
 */
export const findObstacle = (task: TaskRecord, worker: WorkerRecord, held: HeldWorkers, interference: FillerInterference, now: Instant): Obstacle | undefined => {
  const { shape } = task.step
  const constraint = findConstraint(task, worker, held, now)
  if (constraint !== undefined) return constraint
  if (freeProcessors(task.step, worker, interference, now) < shape.processors) return 'processors'
  return addedPressure(task.step, worker, interference, now) > MAX_PLACING_PRESSURE ? 'pressure' : undefined
}

/**
 * Returns the processors that a worker has for tasks of a step, in thousandths of a core.
 *
 * @example
 * freeProcessors(step, worker, interference, now) // 12_400
 */
export const freeProcessors = ({ shape }: StepRecord, worker: WorkerRecord, interference: FillerInterference, now: Instant): number =>
  shape.isFiller ? interference.capacity.free(worker, now) : worker.entry.processors - worker.processorsUsed

/**
 * Returns the highest pressure expected on a serving task of a worker if a task of a step starts there; 0 if the task
 * is no filler. 1 is exactly on the latency target.
 *
 * @example
 * addedPressure(step, worker, interference, now) // 0.84
 */
export const addedPressure = ({ shape }: StepRecord, worker: WorkerRecord, interference: FillerInterference, now: Instant): number =>
  shape.isFiller && worker.servingRuns > 0 ? interference.capacity.pressure(shape, worker, now) : 0

const countRunsOfStep = (step: StepRecord, worker: WorkerRecord): number => {
  let count = 0
  for (const run of worker.runs.values()) if (run.task.step === step) count++
  return count
}
