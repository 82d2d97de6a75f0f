/**
 * A token bucket that admits calls of the most urgent class first.
 */
import { AuburnpinError, Err, Ok, type Clock, type Instant, type Result, type Timer } from '@auburnpin/common'
import { CALL_CLASSES, type CallClass } from './CallClass.ts'
import { RATE_LIMIT_WAIT_MS, BURST_WINDOW_MS, MAX_WAITING_CALLS } from './constants.ts'

type WaitingCall = Readonly<{ resolve: (result: Result<void, AuburnpinError>) => void, timer: Timer }>

const MS_PER_SECOND = 1_000

/**
 * Admits calls at a fixed rate; the number of waiting calls and the waiting time are bounded.
 *
 * @example
 * const limiter = new PriorityRateLimiter(clock, 20)
 * const admitted = await limiter.acquire('ownership')
 */
export class PriorityRateLimiter {
  readonly #clock: Clock
  readonly #waiting: Readonly<Record<CallClass, Set<WaitingCall>>> = {
    ownership: new Set(), journal: new Set(), snapshot: new Set(), other: new Set()
  }

  #ratePerSecond: number
  #tokens: number
  #refilledAt: Instant
  #refillTimer: Timer | undefined

  constructor (clock: Clock, perSecond: number) {
    this.#clock = clock
    this.#ratePerSecond = perSecond
    this.#tokens = this.#capacity
    this.#refilledAt = clock.now()
  }

  /** Number of waiting calls. */
  get waiting (): number {
    let count = 0
    for (const waiters of Object.values(this.#waiting)) count += waiters.size
    return count
  }

  /** Changes the rate; tokens beyond the new capacity are discarded. */
  setRate (perSecond: number): void {
    this.#refill()
    this.#ratePerSecond = perSecond
    this.#tokens = Math.min(this.#tokens, this.#capacity)
    this.#admitWaiting()
  }

  /** Resolves when the call may be sent. Errors: `overloaded` if it must not be sent. */
  acquire (callClass: CallClass): Promise<Result<void, AuburnpinError>> {
    const waiters = this.#waiting[callClass]
    if (waiters.size >= MAX_WAITING_CALLS) return Promise.resolve(Err(rateLimitError(callClass)))
    return new Promise(resolve => {
      const timer = this.#clock.after(RATE_LIMIT_WAIT_MS, () => {
        waiters.delete(waiter)
        resolve(Err(rateLimitError(callClass)))
      })
      const waiter: WaitingCall = { resolve, timer }
      waiters.add(waiter)
      this.#admitWaiting()
    })
  }

  // At least one token: at a rate below four calls per second, the burst window alone would hold less than one.
  get #capacity (): number {
    return Math.max(1, this.#ratePerSecond * BURST_WINDOW_MS / MS_PER_SECOND)
  }

  #refill (): void {
    const now = this.#clock.now()
    this.#tokens = Math.min(this.#capacity, this.#tokens + (now - this.#refilledAt) * this.#ratePerSecond / MS_PER_SECOND)
    this.#refilledAt = now
  }

  #admitWaiting (): void {
    this.#refill()
    for (const callClass of CALL_CLASSES) {
      for (const waiter of this.#waiting[callClass]) {
        if (this.#tokens < 1) {
          this.#scheduleRefill()
          return
        }
        this.#tokens--
        this.#waiting[callClass].delete(waiter)
        waiter.timer.cancel()
        waiter.resolve(Ok(undefined))
      }
    }
  }

  #scheduleRefill (): void {
    this.#refillTimer?.cancel()
    const waitMs = Math.ceil((1 - this.#tokens) * MS_PER_SECOND / this.#ratePerSecond)
    this.#refillTimer = this.#clock.after(waitMs, () => this.#admitWaiting())
  }
}

const rateLimitError = (callClass: CallClass): AuburnpinError =>
  new AuburnpinError('overloaded', `The rate limit for the platform's store is exceeded for calls of class ${callClass}; nothing was sent`, 'Try again later; no other action is needed.')
