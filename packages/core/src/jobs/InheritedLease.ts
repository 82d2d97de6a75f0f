/**
 * The lease that calls for earlier incarnations of a worker may set on a later one.
 */
import { brand, type Instant } from '@auburnpin/common'
import { MAX_ORDER_DELAY_MS, MAX_WORKER_LEASE_MS } from './constants.ts'
import { leaseExpiry } from './leaseExpiry.ts'

/**
 * An end of a lease on an earlier incarnation's clock is far ahead on a later one's, which shortens it to the longest lease
 * that a worker takes, from whenever it carries the call out. So the lease is bounded by the last time at which it may do so.
 *
 * @example
 * lease.inheritCalls(earlier.lastCallAt)
 * lease.endCalls(receivedAt) // the worker has answered a call with its own epoch
 * lease.expiresAt
 */
export class InheritedLease {
  #expiresAt = brand<Instant>(-Infinity)
  #knownSince = brand<Instant>(-Infinity)

  /** When the lease has certainly ended; `-Infinity` if no call can have set one. */
  get expiresAt (): Instant {
    return this.#expiresAt
  }

  /** From when on the time until `expiresAt` counts. */
  get knownSince (): Instant {
    return this.#knownSince
  }

  /** Calls for earlier incarnations may still be carried out, the last of which was sent at `lastCallAt`; `-Infinity` for none. */
  inheritCalls (lastCallAt: Instant): void {
    if (Number.isFinite(lastCallAt)) this.extend(leaseExpiry(MAX_WORKER_LEASE_MS, brand<Instant>(lastCallAt + MAX_ORDER_DELAY_MS)), lastCallAt)
  }

  /** A call may have set a lease that ends at `expiresAt`, as is known since `knownSince`. */
  extend (expiresAt: Instant, knownSince: Instant): void {
    if (expiresAt <= this.#expiresAt) return
    this.#expiresAt = expiresAt
    this.#knownSince = knownSince
  }

  /** From `at` on the worker carries out no call for an earlier incarnation. */
  endCalls (at: Instant): void {
    const latest = leaseExpiry(MAX_WORKER_LEASE_MS, at)
    if (latest >= this.#expiresAt) return
    this.#expiresAt = latest
    this.#knownSince = at
  }
}
