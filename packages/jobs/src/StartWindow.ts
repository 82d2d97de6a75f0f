/**
 * Limit of the orders to start that wait for a response.
 */
import type { Instant } from '@auburnpin/common'

/** Limit of a new owner, before it knows how fast its VM is. */
const INITIAL_SIZE = 64
/** Smallest limit; a few starts at a time keep even a slow process at work. */
const MIN_SIZE = 16
/** Largest limit, so that a wrong estimate stays harmless. */
const MAX_SIZE = 1_024
/** A worker responds within some milliseconds. A response that takes this long has waited for this process, as the reports and the orders of more urgent tasks have. */
const MAX_RESPONSE_MS = 200
/** Change of the limit with each prompt and each late response; it shrinks faster than it grows. */
const GROWTH = 0.5
const SHRINKAGE = 1

/**
 * Adapts the limit to what the process can handle, as congestion control does: it grows with each prompt response while
 * the limit is used up, and shrinks with each late one. Messages are handled in the order of their arrival, whatever they
 * are for, so tasks that can't start yet must wait in the scheduler, which starts the most urgent first, and not among
 * the messages. Reports wait there as well, and a long delay would let the workers' leases expire.
 *
 * @example
 * const order = window.open(now)
 * window.close(order, sentAt, respondedAt, true)
 * const starts = window.free // 64
 */
export class StartWindow {
  #size = INITIAL_SIZE
  #lastOrder = 0
  /** Orders without a response, by number, with the moment at which they were opened. */
  readonly #open = new Map<number, Instant>()
  /** Whether the limit was reached and most of those orders still wait. */
  #isLimiting = false
  /** Latest opening of an order that was answered. */
  #answeredUntil = -Infinity

  /** Number of orders that may be sent now. */
  get free (): number {
    return Math.max(0, Math.floor(this.#size) - this.#inFlight)
  }

  // An order that was opened long before one that was answered waits for its worker, not for this process.
  get #inFlight (): number {
    let count = 0
    for (const openedAt of this.#open.values()) if (openedAt > this.#answeredUntil - MAX_RESPONSE_MS) count++
    return count
  }

  /** Records that an order is about to be sent, and returns its number. */
  open (now: Instant): number {
    this.#open.set(++this.#lastOrder, now)
    if (this.#open.size >= Math.floor(this.#size)) this.#isLimiting = true
    return this.#lastOrder
  }

  /** Records the end of the wait for a response; a call without a response says nothing about this process. */
  close (order: number, sentAt: Instant, now: Instant, hasResponse: boolean): void {
    const openedAt = this.#open.get(order)
    const isLimiting = this.#isLimiting
    this.#open.delete(order)
    if (this.#open.size < this.#size / 2) this.#isLimiting = false
    if (!hasResponse) return
    if (openedAt !== undefined) this.#answeredUntil = Math.max(this.#answeredUntil, openedAt)
    if (now - sentAt > MAX_RESPONSE_MS) this.#size = Math.max(MIN_SIZE, this.#size - SHRINKAGE)
    else if (isLimiting) this.#size = Math.min(MAX_SIZE, this.#size + GROWTH)
  }
}
