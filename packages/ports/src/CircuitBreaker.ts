/**
 * Keeps calls away from a service that is down, and finds out when it is back.
 */
import { brand, type Clock, type Instant, type Random } from '@auburnpin/common'
import { BREAKER_FAILURES, FIRST_PAUSE_MS, LONGEST_PAUSE_MS } from './constants.ts'

/** Whether a call may be made; a probe is the one call that tells whether the service is back. */
export type Permit = 'call' | 'probe' | 'refused'

/** Opens after failures in a row; pauses grow exponentially, with full jitter. */
export class CircuitBreaker {
  readonly #clock: Clock
  readonly #random: Random
  #failures = 0
  #openings = 0
  #openUntil: Instant | undefined
  #isProbing = false

  constructor (clock: Clock, random: Random) {
    this.#clock = clock
    this.#random = random
  }

  /** Whether the service counts as down. */
  get isOpen (): boolean {
    return this.#openUntil !== undefined
  }

  /** Whether a call would be refused now. */
  get isRefusing (): boolean {
    return this.#openUntil !== undefined && (this.#isProbing || this.#clock.now() < this.#openUntil)
  }

  /** Asks leave for one call; its result must be told with the same permit. */
  admit (): Permit {
    if (this.#openUntil === undefined) return 'call'
    if (this.isRefusing) return 'refused'
    this.#isProbing = true
    return 'probe'
  }

  /** Takes in how a call ended. */
  report (permit: Permit, isSuccess: boolean): void {
    if (permit === 'probe') this.#isProbing = false
    // Calls sent before the breaker opened tell nothing new.
    if (permit === 'call' && this.isOpen) return
    if (isSuccess) {
      this.#failures = 0
      this.#openings = 0
      this.#openUntil = undefined
      return
    }
    this.#failures++
    if (permit === 'probe' || this.#failures >= BREAKER_FAILURES) this.#open()
  }

  #open (): void {
    const ceiling = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.min(this.#openings, 16))
    this.#openings++
    this.#openUntil = brand<Instant>(this.#clock.now() + ceiling * this.#random.fraction())
  }
}
