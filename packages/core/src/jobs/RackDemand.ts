/**
 * Demand for the racks that hold data.
 */
import type { Instant } from '@auburnpin/common'

/** Milliseconds over which the weight of a task in the demand falls to 37 %; several tasks long, and shorter than a swing of the load. */
const DEMAND_MEMORY_MS = 5_000

/** Demand below this, as a share of a rack of one core, is forgotten. */
const NEGLIGIBLE_WORK = 1_000

/**
 * The processor time of the tasks that were placed for the data in each rack, wherever they started, over the last
 * seconds. The state is of one term, and is gathered again within seconds.
 *
 * @example
 * demand.record('r1-3', 3_800 * 640, now)
 * demand.ratio('r1-3', 192_000, now) // 0.4
 */
export class RackDemand {
  readonly #work = new Map<string, { amount: number, at: Instant }>()

  /** Adds the work of a task that is placed, in thousandths of a core times milliseconds. */
  record (label: string, work: number, now: Instant): void {
    this.#work.set(label, { amount: this.#amountOf(label, now) + work, at: now })
  }

  /** Demand as a share of the processors of the rack, in thousandths of a core; above 1 if more is asked for than the rack can hold. */
  ratio (label: string, processors: number, now: Instant): number {
    return this.#amountOf(label, now) / DEMAND_MEMORY_MS / Math.max(1, processors)
  }

  /** Forgets the racks that are hardly in demand any more. */
  prune (now: Instant): void {
    for (const label of this.#work.keys()) if (this.#amountOf(label, now) < NEGLIGIBLE_WORK) this.#work.delete(label)
  }

  #amountOf (label: string, now: Instant): number {
    const known = this.#work.get(label)
    return known === undefined ? 0 : known.amount * Math.exp((known.at - now) / DEMAND_MEMORY_MS)
  }
}
