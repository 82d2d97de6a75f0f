/**
 * Capacity of workers for fillers, computed once for each worker and scheduling pass.
 */
import type { Instant } from '@auburnpin/common'
import { DEFAULT_SERVING_UTILISATION } from './constants.ts'
import type { StepRecord } from './StepRecord.ts'
import type { RunRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Expected effects of load and fillers on serving tasks. */
export abstract class ServingEffects {
  /** The share of its processors that the load of a serving step is expected to use soon; `undefined` while unknown. */
  abstract expectedUtilisation (step: StepRecord, now: Instant): number | undefined
  /** Highest pressure expected soon on any serving task that one more filler would interfere with. */
  abstract maxExpectedPressure (filler: JobStep, runs: Iterable<RunRecord>, now: Instant): number
}

/** What was computed while the worker had `runs` runs; further runs make it invalid. */
type CachedCapacity = { readonly runs: number, readonly free: number, readonly pressures: Map<JobStep, number> }

/**
 * A burst of jobs leaves thousands of fillers waiting, and each of them is compared with every worker. Both values depend
 * on all runs of a worker, so they are kept until a run is added there or the next pass begins.
 *
 * @example
 * capacity.startPass()
 * capacity.free(worker, now) // 12_400
 * capacity.pressure(step.shape, worker, now) // 0.84
 */
export class FillerCapacity {
  readonly #effects: ServingEffects
  #cached = new WeakMap<WorkerRecord, CachedCapacity>()

  constructor (effects: ServingEffects) {
    this.#effects = effects
  }

  /** Forgets all values, as readings and paces may have changed. */
  startPass (): void {
    this.#cached = new WeakMap()
  }

  /**
   * Processors available to a new filler, which makes no progress without them, in thousandths of a core. Serving tasks
   * count with their expected use, since they reserve more, and fillers with their measured use, since some request more.
   */
  free (worker: WorkerRecord, now: Instant): number {
    return this.#of(worker, now).free
  }

  /** The same once all other tasks than serving ones have ended there. */
  freeOnceEnded (worker: WorkerRecord, now: Instant): number {
    let free = worker.entry.processors
    for (const { task: { step } } of worker.runs.values()) {
      if (step.shape.latencyTargetMs > 0) free -= this.#servingUse(step, now)
      else if (step.shape.isLasting) free -= step.shape.processors
    }
    return free
  }

  /** The highest pressure expected on a serving task of the worker if a filler of this shape starts there; 1 is exactly on target. */
  pressure (filler: JobStep, worker: WorkerRecord, now: Instant): number {
    const { pressures } = this.#of(worker, now)
    let pressure = pressures.get(filler)
    if (pressure === undefined) {
      pressure = this.#effects.maxExpectedPressure(filler, worker.runs.values(), now)
      pressures.set(filler, pressure)
    }
    return pressure
  }

  #of (worker: WorkerRecord, now: Instant): CachedCapacity {
    const known = this.#cached.get(worker)
    if (known?.runs === worker.runs.size) return known
    const computed = { runs: worker.runs.size, free: this.#freeOf(worker, now), pressures: new Map<JobStep, number>() }
    this.#cached.set(worker, computed)
    return computed
  }

  #freeOf ({ entry, processorsUsed, servingProcessors, runs }: WorkerRecord, now: Instant): number {
    let free = entry.processors - (processorsUsed - servingProcessors)
    for (const { task: { step }, reading = 0 } of runs.values()) {
      const { shape } = step
      if (shape.latencyTargetMs > 0) free -= this.#servingUse(step, now)
      else if (shape.isFiller) free -= reading > 0 ? Math.min(reading, shape.processors) : shape.processors
    }
    return free
  }

  #servingUse (step: StepRecord, now: Instant): number {
    return step.shape.processors * (this.#effects.expectedUtilisation(step, now) ?? DEFAULT_SERVING_UTILISATION)
  }
}
