/**
 * Estimates of the processors that tasks actually use, as opposed to those they declare.
 */
import type { TaskSpec } from '../cell/types.ts'
import { USAGE_LEARNING_RATE, THROTTLE_BOUND_SHARE } from '../constants.ts'
import { workloadKindOf } from './workloadKindOf.ts'

/** Cores in use per declared core, by workload kind. Used for interference and throttling; commitments count declared cores. */
export class UsageEstimates {
  readonly #usedShares = new Map<string, number>()

  /** Learns from the cores that a task used while throttled to `share` of its declared cores. */
  learn (spec: TaskSpec, cores: number, share: number): void {
    const used = cores / spec.resources.processors
    // A task that uses nearly all that its throttle allows might use more without it.
    const isBound = share < 1 && used > THROTTLE_BOUND_SHARE * share
    if (isBound) return
    const kind = workloadKindOf(spec)
    const before = this.#usedShares.get(kind) ?? used
    this.#usedShares.set(kind, before + USAGE_LEARNING_RATE * (used - before))
  }

  /** Estimated cores in use when the task is throttled to `share` of its declared cores. */
  throttledCores (spec: TaskSpec, share: number): number {
    return Math.min(this.unthrottledCores(spec), spec.resources.processors * share)
  }

  /** Estimated cores in use without a throttle. */
  unthrottledCores (spec: TaskSpec): number {
    return spec.resources.processors * (this.#usedShares.get(workloadKindOf(spec)) ?? 1)
  }
}
