/**
 * A wait that can be cut short.
 */
import type { Clock } from './Clock.ts'

/**
 * For one task that waits for time to pass or for news, whichever comes first.
 *
 * @example
 * const pause = new Pause(clock)
 * await pause.rest(500) // ends early when another task calls pause.wake()
 */
export class Pause {
  readonly #clock: Clock
  #wake: (() => void) | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Resolves after `delayMs` or at the next `wake`. */
  rest (delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = this.#clock.after(delayMs, resolve)
      this.#wake = () => {
        timer.cancel()
        this.#wake = undefined
        resolve()
      }
    })
  }

  /** Ends a rest in progress; does nothing without one. */
  wake (): void {
    this.#wake?.()
  }
}
