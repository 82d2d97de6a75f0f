/**
 * What tasks of a kind really use, whatever they declare.
 */
import type { TaskSpec } from '../cell/types.ts'
import { SIZE_LEARNING_RATE, THROTTLE_BOUND_SHARE } from '../constants.ts'
import { kindOf } from './kindOf.ts'

/** Cores in use per declared core, by kind. Steers placement and throttling, never commitments. */
export class LearntSizes {
  readonly #shares = new Map<string, number>()

  /** Takes in what one task used while it was allowed `share` of its declared cores. */
  learn (spec: TaskSpec, cores: number, share: number): void {
    const used = cores / spec.resources.processors
    // A task at the bound of its throttle might use more without it.
    const isBound = share < 1 && used > THROTTLE_BOUND_SHARE * share
    if (isBound) return
    const kind = kindOf(spec)
    const before = this.#shares.get(kind) ?? used
    this.#shares.set(kind, before + SIZE_LEARNING_RATE * (used - before))
  }

  /** Cores that the task is expected to use under a throttle. */
  coresAt (spec: TaskSpec, share: number): number {
    return Math.min(this.coresOf(spec), spec.resources.processors * share)
  }

  /** Cores that the task is expected to use when it is not throttled. */
  coresOf (spec: TaskSpec): number {
    return spec.resources.processors * (this.#shares.get(kindOf(spec)) ?? 1)
  }
}
