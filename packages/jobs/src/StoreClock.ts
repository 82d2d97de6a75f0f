/**
 * Translates between the clock of this process and that of the store, in the direction that is safe for leases.
 */
import { brand, type Instant } from '@auburnpin/common'
import type { StoreTime } from './RowStore.ts'

/** Readings of the store's clock are whole milliseconds, rounded down. */
const STORE_TIME_RESOLUTION_MS = 1

/** Keeps the latest reading of the store's clock. */
export class StoreClock {
  #storeTime: StoreTime | undefined
  #requestedAt = brand<Instant>(-Infinity)

  /** Records the clock that a response states; the call was sent at `requestedAt`. */
  record (storeTime: StoreTime | undefined, requestedAt: Instant): void {
    if (storeTime === undefined || requestedAt < this.#requestedAt) return
    this.#storeTime = storeTime
    this.#requestedAt = requestedAt
  }

  /**
   * A time of the store by which a moment is certainly past that this process took, at `knownSince`, to be over at
   * `at`. `undefined` unless the latest reading was requested after that: while a process is suspended its clock stops and the
   * store's doesn't, so that what was computed later can't be counted from an earlier reading.
   *
   * @example
   * const over = storeClock.latest(worker.leaseExpiresAt, worker.leaseKnownSince)
   */
  latest (at: Instant, knownSince: Instant): StoreTime | undefined {
    if (this.#storeTime === undefined || this.#requestedAt <= knownSince) return undefined
    return brand<StoreTime>(Math.ceil(this.#storeTime + STORE_TIME_RESOLUTION_MS + Math.max(0, at - this.#requestedAt)))
  }

  /**
   * The time of this process's clock by which a time of the store is certainly past, from a reading of the store's
   * clock whose response arrived at `receivedAt`.
   *
   * @example
   * const expiresAt = StoreClock.instantOf(leaseOverAt, page.storeTime, receivedAt)
   */
  static instantOf (time: StoreTime, reading: StoreTime, receivedAt: Instant): Instant {
    return brand<Instant>(receivedAt + Math.max(0, time - reading))
  }
}
