/**
 * Interval between two searches for late runs.
 */
import { brand, type Instant } from '@auburnpin/common'

/**
 * Milliseconds between two searches. A search of 2,000 runs takes about 0.1 ms, as long as the rest of a pass that places
 * nothing, and passes may come every few milliseconds; reports that show a late run come every 1.5 s.
 */
const SEARCH_INTERVAL_MS = 50

/**
 * Limits how often a scheduling pass searches for late runs.
 *
 * @example
 * if (!copyInterval.startSearch(now)) return
 */
export class CopyInterval {
  #searchedAt = brand<Instant>(-Infinity)

  /** Whether a search is due; if so, the next one is due after the interval. */
  startSearch (now: Instant): boolean {
    if (now - this.#searchedAt < SEARCH_INTERVAL_MS) return false
    this.#searchedAt = now
    return true
  }
}
