/**
 * Time between scheduling passes.
 */

/** Delay of a pass after an event, in milliseconds, so that events in quick succession share one pass. */
const BATCHING_DELAY_MS = 3
/** Longest delay, in milliseconds: that of a pass when nothing happens. */
const MAX_DELAY_MS = 100
/** Delay as a multiple of the duration of a pass, so that passes take at most a third of the time; the rest is for reports, commits and orders. */
const DELAYS_PER_PASS = 2
/** Weight of the last pass in the expected duration; one slow pass, such as one with a garbage collection, changes little. */
const SMOOTHING = 0.2

/**
 * A pass looks at all waiting tasks. While thousands wait, passes after each report would take all processor time of a
 * small VM, and the leases of the workers could not be renewed. So the delay before a pass grows with its duration.
 *
 * @example
 * clock.after(spacing.delayMs, () => {
 *   const startedAt = clock.now()
 *   pass()
 *   spacing.recordPass(clock.now() - startedAt)
 * })
 */
export class PassSpacing {
  #expectedMs = 0

  /** Milliseconds to wait before the next pass. */
  get delayMs (): number {
    return Math.min(MAX_DELAY_MS, Math.max(BATCHING_DELAY_MS, this.#expectedMs * DELAYS_PER_PASS))
  }

  /** Records the duration of a pass in milliseconds. */
  recordPass (durationMs: number): void {
    this.#expectedMs += SMOOTHING * (durationMs - this.#expectedMs)
  }
}
