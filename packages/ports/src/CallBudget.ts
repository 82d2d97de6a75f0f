/**
 * A token bucket that serves the most urgent class first.
 */
import { AuburnpinError, Err, Ok, type Clock, type Instant, type Result, type Timer } from '@auburnpin/common'
import { CALL_CLASSES, type CallClass } from './CallClass.ts'
import { BUDGET_WAIT_MS, BURST_MS, MAX_WAITING_CALLS } from './constants.ts'

type Waiter = Readonly<{ resolve: (result: Result<void, AuburnpinError>) => void, timer: Timer }>

const MS_PER_SECOND = 1_000

/**
 * Lets calls through at a rate; the number that waits and their time are bounded.
 *
 * @example
 * const budget = new CallBudget(clock, 20)
 * const admitted = await budget.acquire('ownership')
 */
export class CallBudget {
  readonly #clock: Clock
  readonly #waiting: Readonly<Record<CallClass, Set<Waiter>>> = {
    ownership: new Set(), journal: new Set(), snapshot: new Set(), other: new Set()
  }

  #perSecond: number
  #tokens: number
  #filledAt: Instant
  #refill: Timer | undefined

  constructor (clock: Clock, perSecond: number) {
    this.#clock = clock
    this.#perSecond = perSecond
    this.#tokens = this.#capacity
    this.#filledAt = clock.now()
  }

  /** Calls that wait. */
  get waiting (): number {
    let count = 0
    for (const waiters of Object.values(this.#waiting)) count += waiters.size
    return count
  }

  /** Changes the rate; what was saved up beyond the new burst is lost. */
  setRate (perSecond: number): void {
    this.#fill()
    this.#perSecond = perSecond
    this.#tokens = Math.min(this.#tokens, this.#capacity)
    this.#serve()
  }

  /** Resolves when the call may be made; `overloaded` means that it was not made. */
  acquire (callClass: CallClass): Promise<Result<void, AuburnpinError>> {
    const waiters = this.#waiting[callClass]
    if (waiters.size >= MAX_WAITING_CALLS) return Promise.resolve(Err(overBudget(callClass)))
    return new Promise(resolve => {
      const timer = this.#clock.after(BUDGET_WAIT_MS, () => {
        waiters.delete(waiter)
        resolve(Err(overBudget(callClass)))
      })
      const waiter: Waiter = { resolve, timer }
      waiters.add(waiter)
      this.#serve()
    })
  }

  // A rate under four a second must still be able to save up one whole call.
  get #capacity (): number {
    return Math.max(1, this.#perSecond * BURST_MS / MS_PER_SECOND)
  }

  #fill (): void {
    const now = this.#clock.now()
    this.#tokens = Math.min(this.#capacity, this.#tokens + (now - this.#filledAt) * this.#perSecond / MS_PER_SECOND)
    this.#filledAt = now
  }

  #serve (): void {
    this.#fill()
    for (const callClass of CALL_CLASSES) {
      for (const waiter of this.#waiting[callClass]) {
        if (this.#tokens < 1) {
          this.#awaitToken()
          return
        }
        this.#tokens--
        this.#waiting[callClass].delete(waiter)
        waiter.timer.cancel()
        waiter.resolve(Ok(undefined))
      }
    }
  }

  #awaitToken (): void {
    this.#refill?.cancel()
    const waitMs = Math.ceil((1 - this.#tokens) * MS_PER_SECOND / this.#perSecond)
    this.#refill = this.#clock.after(waitMs, () => this.#serve())
  }
}

const overBudget = (callClass: CallClass): AuburnpinError =>
  new AuburnpinError('overloaded', `The budget of the platform's store has no room for class ${callClass}; nothing was sent`, 'Try again later; nothing else need be done.')
