/**
 * Limits the retries of a service to a share of its requests, so that an outage does not multiply the load.
 */
import { MAX_RETRY_TOKENS, RETRY_SHARE } from './constants.ts'

/** A token bucket that is filled by requests instead of time. */
export class RetryBudget {
  #tokens = MAX_RETRY_TOKENS

  /** Adds the share of a token that one request earns. */
  earn (): void {
    this.#tokens = Math.min(MAX_RETRY_TOKENS, this.#tokens + RETRY_SHARE)
  }

  /** Takes the token for one retry; returns whether there was one. */
  spend (): boolean {
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}
