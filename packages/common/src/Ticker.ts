/**
 * Runs an action periodically, without overlapping runs.
 */
import type { Clock, Timer } from './Clock.ts'

/**
 * Runs `action` repeatedly until stopped, with a delay of `intervalMs` between the end of a run and the next start.
 *
 * @example
 * const ticker = new Ticker(clock, 1_000, () => poll(), error => log.error(String(error)))
 * ticker.start()
 */
export class Ticker {
  readonly #clock: Clock
  readonly #intervalMs: number
  readonly #action: () => Promise<void> | void
  readonly #onError: (error: unknown) => void
  #timer: Timer | undefined
  #isStopped = true
  #running: Promise<void> = Promise.resolve()

  constructor (clock: Clock, intervalMs: number, action: () => Promise<void> | void, onError: (error: unknown) => void) {
    this.#clock = clock
    this.#intervalMs = intervalMs
    this.#action = action
    this.#onError = onError
  }

  /** Starts the first run after `delayMs`. */
  start (delayMs = 0): void {
    this.#isStopped = false
    this.#schedule(delayMs)
  }

  /** Starts no more runs, and resolves once a run in progress has ended. */
  async stop (): Promise<void> {
    this.#isStopped = true
    this.#timer?.cancel()
    await this.#running
  }

  #schedule (delayMs: number): void {
    if (this.#isStopped) return
    this.#timer = this.#clock.after(delayMs, () => { this.#running = this.#run() })
  }

  async #run (): Promise<void> {
    try {
      await this.#action()
    } catch (error) {
      this.#onError(error)
    }
    this.#schedule(this.#intervalMs)
  }
}
