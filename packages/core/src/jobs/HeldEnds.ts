/**
 * Ends of runs that must not be acknowledged yet.
 */
import type { Instant } from '@auburnpin/common'

/**
 * A worker forgets all ends up to the one that is acknowledged, so one that is held keeps the later ones as well.
 *
 * @example
 * ends.hold(17, acknowledgeableFrom)
 * ends.limit(durableEnd, now) // 16 at most until then
 */
export class HeldEnds {
  readonly #until = new Map<number, Instant>()

  /** Keeps an end, by its sequence number, from being acknowledged before a time. */
  hold (sequence: number, until: Instant): void {
    this.#until.set(sequence, until)
  }

  /** The last end up to `sequence` that may be acknowledged. */
  limit (sequence: number, now: Instant): number {
    let limit = sequence
    for (const [held, until] of this.#until) {
      if (now >= until) this.#until.delete(held)
      else limit = Math.min(limit, held - 1)
    }
    return limit
  }
}
