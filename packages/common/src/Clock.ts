/**
 * Port for time and timers.
 */
import type { Instant } from './ids.ts'

/** A timer that can be cancelled. */
export abstract class Timer {
  /** Cancels the timer; does nothing if it has already run. */
  abstract cancel (): void
}

/** Source of time and timers; tests pass a virtual one. */
export abstract class Clock {
  /** Monotonic milliseconds. */
  abstract now (): Instant
  /** Wall-clock milliseconds since 1970, for timestamps in records. */
  abstract wallTime (): number
  /** Runs `action` once after `delayMs`. */
  abstract after (delayMs: number, action: () => void): Timer

  /** Resolves after `delayMs`. */
  sleep (delayMs: number): Promise<void> {
    return new Promise(resolve => { this.after(delayMs, resolve) })
  }
}
