/**
 * The clock of the machine.
 */
import { Clock, Timer } from './Clock.ts'
import { brand, type Instant } from './ids.ts'

class SystemTimer extends Timer {
  readonly #handle: NodeJS.Timeout

  constructor (handle: NodeJS.Timeout) {
    super()
    this.#handle = handle
  }

  cancel (): void {
    globalThis.clearTimeout(this.#handle)
  }
}

/** Monotonic and wall-clock time of the machine. */
export class SystemClock extends Clock {
  now (): Instant {
    return brand<Instant>(performance.now())
  }

  wallTime (): number {
    return new Date().getTime()
  }

  after (delayMs: number, action: () => void): Timer {
    return new SystemTimer(globalThis.setTimeout(action, delayMs))
  }
}
