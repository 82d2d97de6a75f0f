/**
 * The port through which time enters the program.
 */
import type { Instant } from './ids.ts'

/** A timer that can be stopped. */
export abstract class Timer {
  /** Stops the timer; harmless when it has already run. */
  abstract cancel (): void
}

/** Source of time and timers; tests pass a virtual one. */
export abstract class Clock {
  /** Monotonic milliseconds. */
  abstract now (): Instant
  /** Wall-clock milliseconds since 1970, for records that people read. */
  abstract wallTime (): number
  /** Runs `action` once after `delayMs`. */
  abstract after (delayMs: number, action: () => void): Timer

  /** Resolves after `delayMs`. */
  sleep (delayMs: number): Promise<void> {
    return new Promise(resolve => { this.after(delayMs, resolve) })
  }
}
