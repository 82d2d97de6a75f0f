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
   * A time of the store at which `at`, which this process computed at `computedAt`, is certainly past. `undefined` without
   * a reading requested since `computedAt`: this process's clock stops while it is suspended and the store's doesn't, so a
   * suspension between an earlier reading and `computedAt` would make the result too early.
   *
   * @example
   * const leaseOverAt = storeClock.toStoreTime(worker.leaseExpiresAt, worker.leaseKnownSince)
   */
  toStoreTime (at: Instant, computedAt: Instant): StoreTime | undefined {
    if (this.#storeTime === undefined || this.#requestedAt <= computedAt) return undefined
    return brand<StoreTime>(Math.ceil(this.#storeTime + STORE_TIME_RESOLUTION_MS + Math.max(0, at - this.#requestedAt)))
  }

  /**
   * The moment of this process's clock at which a time of the store is certainly past, by a reading of the store's clock
   * whose response arrived at `receivedAt`.
   *
   * @example
   * const expiresAt = StoreClock.toInstant(leaseOverAt, page.storeTime, receivedAt)
   */
  static toInstant (time: StoreTime, reading: StoreTime, receivedAt: Instant): Instant {
    return brand<Instant>(receivedAt + Math.max(0, time - reading))
  }
}
