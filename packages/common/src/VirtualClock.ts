/**
 * A clock that only moves when told to, for tests and replays.
 */
import { Clock, Timer } from './Clock.ts'
import { brand, type Instant } from './ids.ts'

type Pending = { readonly due: number, readonly order: number, readonly action: () => void, isCancelled: boolean }

// Enough turns for chains of promises between two timers to settle.
const SETTLING_TURNS = 40

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
 * Virtual time in milliseconds from 0.
 *
 * @example
 * const clock = new VirtualClock()
 * clock.after(1_000, () => console.log('a second later'))
 * await clock.advance(1_000)
 */
export class VirtualClock extends Clock {
  #now = 0
  #order = 0
  readonly #pending: Pending[] = []

  now (): Instant {
    return brand<Instant>(this.#now)
  }

  wallTime (): number {
    return this.#now
  }

  after (delayMs: number, action: () => void): Timer {
    const pending: Pending = { due: this.#now + Math.max(0, delayMs), order: this.#order++, action, isCancelled: false }
    this.#insert(pending)
    return new VirtualTimer(() => { pending.isCancelled = true })
  }

  /** Moves time on, running every timer due on the way and letting promises settle between them. */
  async advance (durationMs: number): Promise<void> {
    const end = this.#now + durationMs
    await settlePromises()
    for (;;) {
      const next = this.#pending[0]
      if (next === undefined || next.due > end) break
      this.#pending.shift()
      if (next.isCancelled) continue
      this.#now = next.due
      next.action()
      await settlePromises()
    }
    this.#now = end
  }

  #insert (pending: Pending): void {
    let low = 0
    let high = this.#pending.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this.#pending[middle] as Pending
      const isBefore = other.due < pending.due || (other.due === pending.due && other.order < pending.order)
      if (isBefore) low = middle + 1
      else high = middle
    }
    this.#pending.splice(low, 0, pending)
  }
}

const settlePromises = async (): Promise<void> => {
  for (let turn = 0; turn < SETTLING_TURNS; turn++) await Promise.resolve()
}
