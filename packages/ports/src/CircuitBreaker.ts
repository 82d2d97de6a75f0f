/**
 * Stops calls to a service that is unavailable, and probes when it is available again.
 */
import { brand, type Clock, type Instant, type Random } from '@auburnpin/common'
import { BREAKER_FAILURES, BREAKER_FIRST_PAUSE_MS, BREAKER_MAX_PAUSE_MS } from './constants.ts'

/** Whether a call may be made; a probe is the single call that tests whether the service is available again. */
export type Permit = 'call' | 'probe' | 'refused'

/** Opens after consecutive failures; the pause before each probe grows exponentially, with full jitter. */
export class CircuitBreaker {
  readonly #clock: Clock
  readonly #random: Random
  #consecutiveFailures = 0
  #consecutiveOpenings = 0
  #openUntil: Instant | undefined
  #isProbing = false

  constructor (clock: Clock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  /** Whether the service counts as unavailable. */
  get isOpen (): boolean {
    return this.#openUntil !== undefined
  }

  /** Whether a call would be refused now. */
  get isRefusing (): boolean {
    return this.#openUntil !== undefined && (this.#isProbing || this.#clock.now() < this.#openUntil)
  }

  /** Requests a permit for one call; the result of the call must be reported with the same permit. */
  admit (): Permit {
    if (this.#openUntil === undefined) return 'call'
    if (this.isRefusing) return 'refused'
    this.#isProbing = true
    return 'probe'
  }

  /** Reports the result of a call. */
  report (permit: Permit, isSuccess: boolean): void {
    if (permit === 'probe') this.#isProbing = false
    // Results of calls sent before the breaker opened are not evidence of the present state.
    if (permit === 'call' && this.isOpen) return
    if (isSuccess) {
      this.#consecutiveFailures = 0
      this.#consecutiveOpenings = 0
      this.#openUntil = undefined
      return
    }
    this.#consecutiveFailures++
    if (permit === 'probe' || this.#consecutiveFailures >= BREAKER_FAILURES) this.#open()
  }

  #open (): void {
    const ceiling = Math.min(BREAKER_MAX_PAUSE_MS, BREAKER_FIRST_PAUSE_MS * 2 ** Math.min(this.#consecutiveOpenings, 16))
    this.#consecutiveOpenings++
    this.#openUntil = brand<Instant>(this.#clock.now() + ceiling * this.#random.fraction())
  }
}
