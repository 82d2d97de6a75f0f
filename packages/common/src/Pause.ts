/**
 * A sleep that can be interrupted.
 */
import type { Clock } from './Clock.ts'

/**
 * Lets one asynchronous loop sleep until a delay has passed or another task wakes it. At most one sleep at a time.
 *
 * @example
 * const pause = new Pause(clock)
 * await pause.rest(500) // ends early when another task calls pause.wake()
 */
export class Pause {
  readonly #clock: Clock
  #wakeSleeper: (() => void) | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Resolves after `delayMs` or at the next `wake`, whichever is first. */
  rest (delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = this.#clock.after(delayMs, resolve)
      this.#wakeSleeper = () => {
        timer.cancel()
        this.#wakeSleeper = undefined
        resolve()
      }
    })
  }

  /** Ends the sleep in progress; does nothing without one. */
  wake (): void {
    this.#wakeSleeper?.()
  }
}
