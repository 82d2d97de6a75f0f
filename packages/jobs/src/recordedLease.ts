/**
 * What a new owner reads from the record about the leases of a worker.
 */
import { brand, type Instant } from '@auburnpin/common'
import type { RecordedLease } from '@auburnpin/core'
import type { StoreTime } from './RowStore.ts'
import type { UsedWorker } from './rows.ts'
import { StoreClock } from './StoreClock.ts'

/**
 * When the leases of a worker are over, by a reading of the store's clock that arrived at `receivedAt` with the record.
 *
 * @example
 * scheduler.restoreWorker(unlistedEntry(worker), now, recordedLease(worker, page.storeTime, receivedAt))
 */
export const recordedLease = ({ leaseOverAt, inheritedLeaseOverAt }: UsedWorker, storeTime: StoreTime | undefined, receivedAt: Instant): RecordedLease => {
  const toInstant = (time: StoreTime): Instant | undefined => storeTime === undefined ? undefined : StoreClock.toInstant(time, storeTime, receivedAt)
  return {
    overAt: leaseOverAt === undefined ? undefined : toInstant(leaseOverAt),
    inheritedOverAt: inheritedLeaseOverAt === undefined ? undefined : toInstant(inheritedLeaseOverAt) ?? brand<Instant>(Infinity)
  }
}
