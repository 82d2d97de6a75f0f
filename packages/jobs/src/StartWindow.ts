/**
 * Limit of the orders to start that wait for a response.
 */
import type { Instant } from '@auburnpin/common'

/** Smallest and first limit. Even at 25 ms a response, reports then wait for less than half of a lease. */
const MIN_SIZE = 64
/** Largest limit, so that a wrong estimate stays harmless. */
const MAX_SIZE = 1_024
/** A worker responds within some milliseconds. A response that takes this long has waited for this process, as the reports have. */
const MAX_RESPONSE_MS = 500
/** Change of the limit with each prompt and each late response; it shrinks faster than it grows. */
const GROWTH = 0.5
const SHRINKAGE = 1

/**
 * Adapts the limit to what the process can handle, as congestion control does: it grows with each prompt response while
 * the limit is used up, and shrinks with each late one. Responses and reports wait in the same line, so this bounds the
 * delay of the reports that renew the workers' leases, however many tasks wait and however slow the VM is.
 *
 * @example
 * window.open()
 * window.close(sentAt, now, true)
 * const starts = window.free // 64
 */
export class StartWindow {
  #size = MIN_SIZE
  #inFlight = 0
  /** Whether the limit was reached and most of those orders still wait. */
  #isLimiting = false

  /** Number of orders that may be sent now. */
  get free (): number {
    return Math.max(0, Math.floor(this.#size) - this.#inFlight)
  }

  /** Records that an order is sent. */
  open (): void {
    this.#inFlight++
    if (this.free === 0) this.#isLimiting = true
  }

  /** Records the end of the wait for a response; a call without a response says nothing about this process. */
  close (sentAt: Instant, now: Instant, hasResponse: boolean): void {
    const isLimiting = this.#isLimiting
    this.#inFlight--
    if (this.#inFlight < this.#size / 2) this.#isLimiting = false
    if (!hasResponse) return
    if (now - sentAt > MAX_RESPONSE_MS) this.#size = Math.max(MIN_SIZE, this.#size - SHRINKAGE)
    else if (isLimiting) this.#size = Math.min(MAX_SIZE, this.#size + GROWTH)
  }
}
