/**
 * Workers that are held for interrupted long-running tasks and for tasks that have waited long.
 */
import type { Instant } from '@auburnpin/common'
import { HELD_WORKER_SHARE, MAX_PLACING_PRESSURE } from './constants.ts'
import type { FillerInterference } from './FillerInterference.ts'
import { findFixedObstacle } from './findObstacle.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * A task that needs more than usually comes free at once never starts while smaller tasks take the free capacity
 * first. So it holds a worker on which it fits once the tasks that end by themselves have ended. Until then the worker
 * accepts other tasks of the same or a lower priority only if they fit beside the held one. An interrupted long-running
 * task takes precedence over all that have not run. Holds last for one scheduling pass, and the next pass renews them.
 *
 * @example
 * held.hold(task, workers, now) // true
 * held.accepts(otherTask, worker) // false
 */
export class HeldWorkers {
  readonly #holders = new Map<WorkerRecord, TaskRecord>()
  /** Workers on which a task on trial is to start, and nothing else. */
  readonly #trials = new Map<WorkerRecord, TaskRecord>()
  /** Workers on which other fillers leave enough processors for this one, and what is free for fillers there. */
  readonly #fillerHolders = new Map<WorkerRecord, Readonly<{ step: StepRecord, free: () => number }>>()
  readonly #holdingSteps = new Set<StepRecord>()
  readonly #limit: number

  /** At most a share of `workerCount` workers is held for tasks that have not run. */
  constructor (workerCount: number) {
    this.#limit = Math.max(1, Math.floor(workerCount * HELD_WORKER_SHARE))
  }

  /** Holds the worker on which the task can probably start first; returns `false` if there is none or too many are held. */
  hold (task: TaskRecord, workers: Iterable<WorkerRecord>, now: Instant): boolean {
    if (!task.isInterrupted && this.#holders.size >= this.#limit) return false
    let best: WorkerRecord | undefined
    let mostFree = -Infinity
    for (const worker of workers) {
      const free = worker.entry.processors - worker.processorsUsed
      if (free <= mostFree || this.#holders.has(worker) || !willFit(task.step.shape, worker)) continue
      if (findFixedObstacle(task, worker, now) !== undefined) continue
      best = worker
      mostFree = free
    }
    if (best === undefined) return false
    this.#holders.set(best, task)
    this.#holdingSteps.add(task.step)
    return true
  }

  /**
   * Keeps all other tasks from the worker on which the task can start apart first; returns `false` if there is none or too
   * many are held. An interrupted task holds a worker also while it doesn't fit there.
   */
  holdForTrial (task: TaskRecord, workers: Iterable<WorkerRecord>, now: Instant): boolean {
    if (this.#trials.size >= this.#limit) return false
    let best: WorkerRecord | undefined
    let mostFree = -Infinity
    for (const worker of workers) {
      const free = worker.entry.processors - worker.processorsUsed
      if (free <= mostFree || this.#trials.has(worker) || !(task.isInterrupted ? willFit : fitsNow)(task.step.shape, worker)) continue
      if (findFixedObstacle(task, worker, now) !== undefined) continue
      best = worker
      mostFree = free
    }
    if (best === undefined) return false
    this.#trials.set(best, task)
    return true
  }

  /**
   * Holds the worker on which a filler can probably start first against other fillers; returns `false` if there is none.
   * Other tasks still start there.
   */
  holdForFiller (task: TaskRecord, workers: Iterable<WorkerRecord>, interference: FillerInterference, now: Instant): boolean {
    const { capacity } = interference
    const { shape } = task.step
    let best: WorkerRecord | undefined
    let mostFree = -Infinity
    for (const worker of workers) {
      const free = capacity.free(worker, now)
      if (free <= mostFree || capacity.freeOnceEnded(worker, now) < shape.processors || !willFit({ ...shape, processors: 0 }, worker)) continue
      if (findFixedObstacle(task, worker, now) !== undefined || (worker.servingRuns > 0 && capacity.pressure(shape, worker, now) > MAX_PLACING_PRESSURE)) continue
      best = worker
      mostFree = free
    }
    if (best === undefined) return false
    const worker = best
    this.#fillerHolders.set(worker, { step: task.step, free: () => capacity.free(worker, now) })
    return true
  }

  /** Whether a worker is held for a filler of this step, whose start must be paid for by the share of idle jobs. */
  isFillerHolder (step: StepRecord): boolean {
    for (const holder of this.#fillerHolders.values()) if (holder.step === step) return true
    return false
  }

  /** Whether a worker is held for a task of this step. */
  isHolder (step: StepRecord): boolean {
    return this.#holdingSteps.has(step)
  }

  /** Whether a task may start on a worker without taking capacity that is held for another one. */
  accepts (task: TaskRecord, worker: WorkerRecord): boolean {
    const apart = this.#trials.get(worker)
    if (apart !== undefined) return apart === task
    const filler = this.#fillerHolders.get(worker)
    if (filler !== undefined && task.step.shape.isFiller && task.step !== filler.step && filler.free() < filler.step.shape.processors + task.step.shape.processors) return false
    const holder = this.#holders.get(worker)
    if (holder === undefined || takesPrecedence(task, holder)) return true
    const { entry, processorsUsed, memoryUsedMb, acceleratorsUsed } = worker
    const { shape: held } = holder.step
    const { shape } = task.step
    return (shape.isFiller || processorsUsed + shape.processors + held.processors <= entry.processors) &&
      memoryUsedMb + shape.memoryMb + held.memoryMb <= entry.memoryMb &&
      acceleratorsUsed + shape.accelerators + held.accelerators <= entry.accelerators
  }
}

const takesPrecedence = (task: TaskRecord, holder: TaskRecord): boolean => {
  if (task.isInterrupted !== holder.isInterrupted) return task.isInterrupted
  return task.step === holder.step || (!task.isInterrupted && priorityOf(task) < priorityOf(holder))
}

const priorityOf = ({ step }: TaskRecord): number => step.job.job.policy.priority

const fitsNow = ({ processors, memoryMb, accelerators }: JobStep, { entry, processorsUsed, memoryUsedMb, acceleratorsUsed }: WorkerRecord): boolean =>
  processorsUsed + processors <= entry.processors && memoryUsedMb + memoryMb <= entry.memoryMb && acceleratorsUsed + accelerators <= entry.accelerators

// Whether a task fits once all tasks have ended that end by themselves.
const willFit = (shape: JobStep, { entry, lasting }: WorkerRecord): boolean =>
  lasting.processors + shape.processors <= entry.processors &&
  lasting.memoryMb + shape.memoryMb <= entry.memoryMb &&
  lasting.accelerators + shape.accelerators <= entry.accelerators
