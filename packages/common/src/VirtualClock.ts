/**
 * A clock that advances only on request, for tests and replays.
 */
import { Clock, Timer } from './Clock.ts'
import { brand, type Instant } from './ids.ts'

type PendingTimer = { readonly due: number, readonly order: number, readonly action: () => void, isCancelled: boolean }

// Turns of the microtask queue that let chains of promises settle between two timers.
const MICROTASK_TURNS = 40

class VirtualTimer extends Timer {
  readonly #cancel: () => void

  constructor (cancel: () => void) {
    super()
    this.#cancel = cancel
  }

  cancel (): void {
    this.#cancel()
  }
}

/**
 * Virtual time in milliseconds, starting at 0.
 *
 * @example
 * const clock = new VirtualClock()
 * clock.after(1_000, () => console.log('a second later'))
 * await clock.advance(1_000)
 */
export class VirtualClock extends Clock {
  #now = 0
  #nextOrder = 0
  readonly #pending: PendingTimer[] = []

  now (): Instant {
    return brand<Instant>(this.#now)
  }

  wallTime (): number {
    return this.#now
  }

  after (delayMs: number, action: () => void): Timer {
    const pending: PendingTimer = { due: this.#now + Math.max(0, delayMs), order: this.#nextOrder++, action, isCancelled: false }
    this.#insert(pending)
    return new VirtualTimer(() => { pending.isCancelled = true })
  }

  /** Advances the time by `durationMs` and runs every timer that falls due, with promises settled after each. */
  async advance (durationMs: number): Promise<void> {
    const end = this.#now + durationMs
    await drainMicrotasks()
    for (;;) {
      const next = this.#pending[0]
      if (next === undefined || next.due > end) break
      this.#pending.shift()
      if (next.isCancelled) continue
      this.#now = next.due
      next.action()
      await drainMicrotasks()
    }
    this.#now = end
  }

  #insert (pending: PendingTimer): void {
    let low = 0
    let high = this.#pending.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.#pending[middle] as PendingTimer
      const isBefore = other.due < pending.due || (other.due === pending.due && other.order < pending.order)
      if (isBefore) low = middle + 1
      else high = middle
    }
    this.#pending.splice(low, 0, pending)
  }
}

const drainMicrotasks = async (): Promise<void> => {
  for (let turn = 0; turn < MICROTASK_TURNS; turn++) await Promise.resolve()
}
