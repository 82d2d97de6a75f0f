/**
 * One process's view of a clock, so that the process can be paused while time goes on.
 */
import { Clock, type Instant, type Timer } from '@auburnpin/common'

/** Timers that fall due during a pause run when it ends, in their order. */
export class PausableClock extends Clock {
  readonly #inner: Clock
  #held: Array<() => void> = []
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
      else this.#held.push(action)
    })
  }

  /** Resolves once the process runs; `undefined` while it does. */
  get running (): Promise<void> | undefined {
    return this.#resumed
  }

  pause (): void {
    this.#resumed ??= new Promise(resolve => { this.#resume = resolve })
  }

  resume (): void {
    const held = this.#held
    this.#held = []
    this.#resumed = undefined
    this.#resume()
    for (const action of held) action()
  }
}
