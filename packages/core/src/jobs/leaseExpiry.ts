/**
 * When leases have certainly ended.
 */
import { brand, type Instant } from '@auburnpin/common'
import { LEASE_MARGIN_MS, MIN_CLOCK_RATE } from './constants.ts'

/**
 * When a lease with `remainingMs` left on a worker's clock at `at` has certainly ended, by this process's clock.
 *
 * @example
 * const expiresAt = leaseExpiry(untilMs - clockMs, receivedAt)
 */
export const leaseExpiry = (remainingMs: number, at: Instant): Instant => brand<Instant>(at + Math.max(0, remainingMs) / MIN_CLOCK_RATE + LEASE_MARGIN_MS)
