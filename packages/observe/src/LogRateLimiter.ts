/**
 * Rate limit for log records.
 */

const WINDOW_MS = 1_000

type RateWindow = { startedAt: number, written: number, suppressed: number }

/**
 * Admits a maximum number of records of each kind per second and counts the suppressed ones.
 *
 * @example
 * const limiter = new LogRateLimiter(100)
 * if (limiter.tryAcquire('Run ended', nowMs)) write()
 */
export class LogRateLimiter {
  readonly #maxPerSecond: number
  readonly #windows = new Map<string, RateWindow>()
  #totalSuppressed = 0

  constructor (maxPerSecond: number) {
    this.#maxPerSecond = maxPerSecond
  }

  /** Total number of suppressed records. */
  get suppressed (): number {
    return this.#totalSuppressed
  }

  /** Counts a record; `false` if it must be suppressed. */
  tryAcquire (kind: string, nowMs: number): boolean {
    let window = this.#windows.get(kind)
    if (window === undefined) this.#windows.set(kind, window = { startedAt: nowMs, written: 0, suppressed: 0 })
    if (Math.abs(nowMs - window.startedAt) >= WINDOW_MS) {
      window.startedAt = nowMs
      window.written = 0
    }
    if (window.written < this.#maxPerSecond) {
      window.written++
      return true
    }
    window.suppressed++
    this.#totalSuppressed++
    return false
  }

  /** Returns the number of records of the kind that were suppressed since the last call and resets it. */
  takeSuppressed (kind: string): number {
    const window = this.#windows.get(kind)
    if (window === undefined) return 0
    const { suppressed } = window
    window.suppressed = 0
    return suppressed
  }
}
