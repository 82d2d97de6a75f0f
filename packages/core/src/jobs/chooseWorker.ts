/**
 * Choice of the worker for a task.
 */
import type { Instant } from '@auburnpin/common'
import { MAX_PLACING_PRESSURE } from './constants.ts'
import type { FillerInterference } from './FillerInterference.ts'
import { addedPressure, findConstraint, freeProcessors } from './findObstacle.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Returns the best of the workers that can run the task now, or `undefined`.
 *
 * Designed for loads in which serving tasks reserve most processors and use half of them, and fillers use the
 * rest. Serving tasks are packed onto few workers together with others of their image, so that for each kind of
 * filler there are workers where it interferes with no serving task. Other tasks are spread to the workers with the
 * most free capacity, so that the loss of one worker affects few tasks, unless `isPacked`: then they go where they leave
 * the smallest piece, so that large tasks find one.
 *
 * @example
 * const worker = chooseWorker(task, workers, held, interference, now)
 */
export const chooseWorker = (task: TaskRecord, workers: Iterable<WorkerRecord>, held: HeldWorkers, interference: FillerInterference, now: Instant, isPacked = false): WorkerRecord | undefined => {
  let best: WorkerRecord | undefined
  let bestScore = -Infinity
  for (const worker of workers) {
    const score = scoreTask(task, worker, held, interference, now, isPacked)
    if (score > bestScore) {
      best = worker
      bestScore = score
    }
  }
  return best
}

/**
 * How well a worker suits a task; `-Infinity` if the task can't start there now.
 *
 * @example
 * scoreTask(task, worker, held, interference, now) // 0.8
 */
export const scoreTask = (task: TaskRecord, worker: WorkerRecord, held: HeldWorkers, interference: FillerInterference, now: Instant, isPacked = false): number => {
  const { step } = task
  // Most workers have too few free processors under load, and comparing them costs least.
  const free = freeProcessors(step, worker, interference, now)
  if (free < step.shape.processors || findConstraint(task, worker, held, now) !== undefined) return -Infinity
  const pressure = addedPressure(step, worker, interference, now)
  if (pressure > MAX_PLACING_PRESSURE) return -Infinity
  return scoreWorker(step, worker, free, isPacked) - pressure * PRESSURE_WEIGHT - (task.failedOn.has(worker) || worker.isQuarantined(now) ? FAULT_PENALTY : 0) - crashCost(task, worker)
}

/** Score for a worker in the rack that holds the task's data; 1 stands for all processors of a worker. */
const DATA_RACK_BONUS = 4
/** Penalty for a worker that is quarantined, or on which the task has failed; outweighs all else, since attempts are few and the worker may be faulty. */
const FAULT_PENALTY = 100
/** Weight of the pressure expected on serving tasks, relative to the worker's share of free processors. */
const PRESSURE_WEIGHT = 2
/** Scores for a worker whose serving tasks are all of the same job, all of the same image, or partly of other images. */
const SAME_JOB_BONUS = 4
const SAME_IMAGE_BONUS = 2
const OTHER_IMAGE_PENALTY = 2

/** Cost of starting a task that may crash its worker beside another such task; less than the value of a data rack. */
const SUSPECT_BESIDE_COST = 2

// A suspect starts where it can be told apart from others; one on trial, where the loss of the worker concerns the fewest runs.
const crashCost = ({ isOnTrial, crashes }: TaskRecord, { runs, suspects }: WorkerRecord): number => {
  if (isOnTrial) return runs.size * FAULT_PENALTY
  return crashes.count > 0 && suspects.size > 0 ? SUSPECT_BESIDE_COST : 0
}

const scoreWorker = (step: StepRecord, worker: WorkerRecord, free: number, isPacked: boolean): number => {
  const { shape } = step
  const { entry } = worker
  const freeShare = free / Math.max(1, entry.processors)
  let score = isPacked ? shape.processors / Math.max(1, free) : shape.latencyTargetMs > 0 && !shape.isFiller ? 1 - freeShare : freeShare
  if (shape.dataRack !== '' && entry.labels.includes(shape.dataRack)) score += DATA_RACK_BONUS
  if (shape.latencyTargetMs > 0 && worker.servingRuns > 0) score += colocationScore(step, worker)
  return score
}

// Tasks of one job have their peaks of load at the same time, which leaves their worker free for the rest of the time.
const colocationScore = (step: StepRecord, worker: WorkerRecord): number => {
  let bonus = SAME_JOB_BONUS
  for (const { task } of worker.runs.values()) {
    const { shape } = task.step
    if (shape.latencyTargetMs === 0) continue
    if (shape.image !== step.shape.image) return -OTHER_IMAGE_PENALTY
    if (task.step.job !== step.job) bonus = SAME_IMAGE_BONUS
  }
  return bonus
}
