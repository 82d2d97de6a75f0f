/**
 * Which worker a task goes to.
 */
import type { Instant } from '@auburnpin/common'
import { PRESSURE_PLACING, SERVING_USE } from './constants.ts'
import type { Disturbance } from './Disturbance.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The best of the workers that may run the task now, or `undefined`.
 *
 * Made for loads in which serving tasks reserve most processors and use half of them, and fillers take the
 * rest: serving tasks fill worker after worker beside others of their image, so that each kind of filler finds
 * workers where it disturbs nobody. Other tasks go where most is free, so that the
 * loss of one worker costs few tasks.
 *
 * @example
 * const worker = chooseWorker(task, workers, disturbance, now)
 */
export const chooseWorker = (task: TaskRecord, workers: Iterable<WorkerRecord>, disturbance: Disturbance, now: Instant): WorkerRecord | undefined => {
  const { shape } = task.step
  let best: WorkerRecord | undefined
  let bestScore = -Infinity
  for (const worker of workers) {
    if (!mayRun(task, worker, now)) continue
    const left = shape.isFiller ? leftProcessors(worker, disturbance, now) : worker.entry.processors - worker.processorsUsed
    if (left < shape.processors) continue
    const pressure = shape.isFiller && worker.servingRuns > 0 ? disturbance.expectBeside(shape, worker.runs.values(), now) : 0
    if (pressure > PRESSURE_PLACING) continue
    const score = scoreWorker(task.step, worker, left) - pressure * PRESSURE_WEIGHT - (task.failedOn.has(worker) ? FAILED_HERE_COST : 0)
    if (score > bestScore) {
      best = worker
      bestScore = score
    }
  }
  return best
}

const mayRun = ({ step, runs }: TaskRecord, worker: WorkerRecord, now: Instant): boolean => {
  const { shape } = step
  const { entry } = worker
  if (entry.service !== step.job.job.policy.service || !worker.canTake(now)) return false
  if (worker.memoryUsedMb + shape.memoryMb > entry.memoryMb) return false
  if (worker.acceleratorsUsed + shape.accelerators > entry.accelerators) return false
  if (shape.requiredLabel !== '' && !entry.labels.includes(shape.requiredLabel)) return false
  if (runs.some(run => run.worker === worker)) return false
  return shape.maxPerWorker === 0 || countOfStep(step, worker) < shape.maxPerWorker
}

// What is left to fillers; one that gets no processors makes no progress. Serving tasks reserve more than they use, as
// far as is known of their load, and fillers ask for more than some use.
const leftProcessors = ({ entry, processorsUsed, servingProcessors, runs }: WorkerRecord, disturbance: Disturbance, now: Instant): number => {
  let left = entry.processors - (processorsUsed - servingProcessors)
  for (const { task: { step }, reading = 0 } of runs.values()) {
    const { shape } = step
    if (shape.latencyTargetMs > 0) left -= shape.processors * (disturbance.busyShare(step, now) ?? SERVING_USE)
    else if (shape.isFiller) left -= reading > 0 ? Math.min(reading, shape.processors) : shape.processors
  }
  return left
}

const countOfStep = (step: StepRecord, worker: WorkerRecord): number => {
  let count = 0
  for (const run of worker.runs.values()) if (run.task.step === step) count++
  return count
}

/** Weight of a task's data being in the worker's rack, in shares of a worker's processors. */
const DATA_RACK_BONUS = 4
/** Weight of an earlier failure on the worker, above all others: attempts are few, and the worker may be bad. */
const FAILED_HERE_COST = 100
/** Weight of the pressure expected on serving tasks, against the free share of the worker. */
const PRESSURE_WEIGHT = 2
/** Weights of a worker whose serving tasks are all of the task's job, all of its image, and of one with others. */
const SAME_JOB_BONUS = 4
const SAME_IMAGE_BONUS = 2
const OTHER_IMAGE_COST = 2

const scoreWorker = (step: StepRecord, worker: WorkerRecord, left: number): number => {
  const { shape } = step
  const { entry } = worker
  const leftShare = left / Math.max(1, entry.processors)
  let score = shape.latencyTargetMs > 0 && !shape.isFiller ? 1 - leftShare : leftShare
  if (shape.dataRack !== '' && entry.labels.includes(shape.dataRack)) score += DATA_RACK_BONUS
  if (shape.latencyTargetMs > 0 && worker.servingRuns > 0) score += weighCompany(step, worker)
  return score
}

// Tasks of one job have their load at the same time, so that their worker is calm for the rest of it.
const weighCompany = (step: StepRecord, worker: WorkerRecord): number => {
  let bonus = SAME_JOB_BONUS
  for (const { task } of worker.runs.values()) {
    const { shape } = task.step
    if (shape.latencyTargetMs === 0) continue
    if (shape.image !== step.shape.image) return -OTHER_IMAGE_COST
    if (task.step.job !== step.job) bonus = SAME_IMAGE_BONUS
  }
  return bonus
}
