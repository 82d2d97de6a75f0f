/**
 * Bounds the retries of a service to a share of its requests, so that an outage does not multiply the load.
 */
import { RETRY_RESERVE, RETRY_SHARE } from './constants.ts'

/** Earned by requests, spent by retries. */
export class RetryBudget {
  #saved = RETRY_RESERVE

  /** Counts one request. */
  earn (): void {
    this.#saved = Math.min(RETRY_RESERVE, this.#saved + RETRY_SHARE)
  }

  /** Whether one retry is allowed; if so it is spent. */
  spend (): boolean {
    if (this.#saved < 1) return false
    this.#saved -= 1
    return true
  }
}
