/**
 * A sleep that can be interrupted.
 */
import type { Clock } from './Clock.ts'

/**
 * Lets one asynchronous loop sleep until a delay has passed or another task wakes it. At most one sleep at a time.
 *
 * @example
 * const sleep = new InterruptibleSleep(clock)
 * await sleep.sleep(500) // ends early when another task calls sleep.wake()
 */
export class InterruptibleSleep {
  readonly #clock: Clock
  #wakeSleeper: (() => void) | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Resolves after `delayMs` or at the next `wake`, whichever is first. */
  sleep (delayMs: number): Promise<void> {
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
