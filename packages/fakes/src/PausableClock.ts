/**
 * A process's view of a shared clock; the process can be paused while time advances.
 */
import { Clock, type Instant, type Timer } from '@auburnpin/common'

/** Timers that expire during a pause run in order when it ends. */
export class PausableClock extends Clock {
  readonly #inner: Clock
  #deferred: Array<() => void> = []
  #resumed: Promise<void> | undefined
  #resume: () => void = () => {}

  constructor (inner: Clock) {
    super()
    this.#inner = inner
  }

  now (): Instant {
    return this.#inner.now()
  }

  wallTime (): number {
    return this.#inner.wallTime()
  }

  after (delayMs: number, action: () => void): Timer {
    return this.#inner.after(delayMs, () => {
      if (this.#resumed === undefined) action()
      else this.#deferred.push(action)
    })
  }

  /** Resolves when the pause ends; `undefined` while the process runs. */
  get running (): Promise<void> | undefined {
    return this.#resumed
  }

  pause (): void {
    this.#resumed ??= new Promise(resolve => { this.#resume = resolve })
  }

  resume (): void {
    const deferred = this.#deferred
    this.#deferred = []
    this.#resumed = undefined
    this.#resume()
    for (const action of deferred) action()
  }
}
