/**
 * Which worker a task goes to.
 */
import type { Instant } from '@auburnpin/common'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The best of the workers that may run the task now, or `undefined`.
 *
 * Made for loads in which fillers and serving tasks share the workers: fillers disturb serving tasks, so
 * each kind keeps off the workers that have the other while there is a choice. Other tasks go where most
 * processors are free, so that the loss of one worker or a slow one costs few tasks.
 *
 * @example
 * const worker = chooseWorker(task, workers, now)
 */
export const chooseWorker = (task: TaskRecord, workers: Iterable<WorkerRecord>, now: Instant): WorkerRecord | undefined => {
  let best: WorkerRecord | undefined
  let bestScore = -Infinity
  for (const worker of workers) {
    if (!mayRun(task, worker, now)) continue
    const score = scoreWorker(task.step, worker)
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
  if (shape.isFiller ? !hasFillerRoom(step, worker) : worker.processorsUsed + shape.processors > entry.processors) return false
  if (shape.requiredLabel !== '' && !entry.labels.includes(shape.requiredLabel)) return false
  if (runs.some(run => run.worker === worker)) return false
  return shape.maxPerWorker === 0 || countOfStep(step, worker) < shape.maxPerWorker
}

// A filler that gets no processors makes no progress, so fillers share only what is really left.
const hasFillerRoom = ({ shape }: StepRecord, { entry, processorsUsed, fillerProcessors, servingRuns }: WorkerRecord): boolean =>
  servingRuns === 0 && processorsUsed + fillerProcessors + shape.processors <= entry.processors

const countOfStep = (step: StepRecord, worker: WorkerRecord): number => {
  let count = 0
  for (const run of worker.runs.values()) if (run.task.step === step) count++
  return count
}

/** Weights of the score, in shares of a worker's processors. */
const DATA_RACK_BONUS = 4
const SEPARATION_BONUS = 8
/** What another serving task on the worker costs a serving task. */
const SERVING_COMPANY_COST = 0.1

const scoreWorker = ({ shape }: StepRecord, worker: WorkerRecord): number => {
  const { entry, processorsUsed, fillerProcessors } = worker
  const freeShare = 1 - (processorsUsed + fillerProcessors + shape.processors) / Math.max(1, entry.processors)
  let score = freeShare
  if (shape.dataRack !== '' && entry.labels.includes(shape.dataRack)) score += DATA_RACK_BONUS
  if (shape.latencyTargetMs > 0) {
    if (worker.fillerRuns === 0) score += SEPARATION_BONUS
    if (worker.servingRuns > 0) score += 1 - SERVING_COMPANY_COST * worker.servingRuns
  }
  return score
}
