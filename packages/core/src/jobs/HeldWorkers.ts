/**
 * Workers that are held for tasks that have waited long.
 */
import type { Instant } from '@auburnpin/common'
import { HELD_WORKER_SHARE } from './constants.ts'
import { findFixedObstacle } from './findObstacle.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * A task that needs more than usually comes free at once never starts while smaller tasks take the free capacity
 * first. So it holds a worker on which it fits once the tasks that end by themselves have ended. Until then the worker
 * accepts other tasks of the same or a lower priority only if they fit beside the held one. Holds last for one
 * scheduling pass, and the next pass renews them.
 *
 * @example
 * held.hold(task, workers, now) // true
 * held.accepts(otherStep, worker) // false
 */
export class HeldWorkers {
  readonly #holders = new Map<WorkerRecord, StepRecord>()
  readonly #holdingSteps = new Set<StepRecord>()
  readonly #limit: number

  /** At most a share of `workerCount` workers is held. */
  constructor (workerCount: number) {
    this.#limit = Math.max(1, Math.floor(workerCount * HELD_WORKER_SHARE))
  }

  /** Holds the worker on which the task can probably start first; returns `false` if there is none or too many are held. */
  hold (task: TaskRecord, workers: Iterable<WorkerRecord>, now: Instant): boolean {
    if (this.#holders.size >= this.#limit) return false
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
    this.#holders.set(best, task.step)
    this.#holdingSteps.add(task.step)
    return true
  }

  /** Whether a worker is held for a task of this step. */
  isHolder (step: StepRecord): boolean {
    return this.#holdingSteps.has(step)
  }

  /** Whether a task of a step may start on a worker without taking capacity that is held for another step. */
  accepts (step: StepRecord, worker: WorkerRecord): boolean {
    const holder = this.#holders.get(worker)
    if (holder === undefined || holder === step || step.job.job.policy.priority < holder.job.job.policy.priority) return true
    const { entry, processorsUsed, memoryUsedMb, acceleratorsUsed } = worker
    const { shape: held } = holder
    const { shape } = step
    return (shape.isFiller || processorsUsed + shape.processors + held.processors <= entry.processors) &&
      memoryUsedMb + shape.memoryMb + held.memoryMb <= entry.memoryMb &&
      acceleratorsUsed + shape.accelerators + held.accelerators <= entry.accelerators
  }
}

// Whether a task fits once all tasks have ended that end by themselves.
const willFit = (shape: JobStep, { entry, lasting }: WorkerRecord): boolean =>
  lasting.processors + shape.processors <= entry.processors &&
  lasting.memoryMb + shape.memoryMb <= entry.memoryMb &&
  lasting.accelerators + shape.accelerators <= entry.accelerators
