/**
 * What the record of a term tells the next owner about the leases of the workers.
 */
import { brand, type Clock, type Instant } from '@auburnpin/common'
import type { JobScheduler, WorkerRecord } from '@auburnpin/core'
import { SILENT_CALLS, WORKER_LEASE_MS } from './constants.ts'
import type { StoreTime } from './RowStore.ts'
import { UNKNOWN_LEASE_END, type UsedWorker } from './rows.ts'
import type { StoreClock } from './StoreClock.ts'

/** One incarnation of a worker. */
export type WorkerIdentity = Pick<UsedWorker, 'id' | 'incarnation'>

/** Key of an incarnation among the used workers. */
export const keyOf = ({ id, incarnation }: WorkerIdentity): string => `${id}#${incarnation}`

/** An inherited end that is recorded this much too late is recorded again, in milliseconds. */
const MAX_EXCESS_MS = 1_000

/**
 * Ends of leases by the clock of the store. An earlier commit without a response may still be applied, but none of them
 * after one that has succeeded: each checks the same version. So it is enough that a worker isn't leasable from before the
 * first commit that names the end of its lease until one without the end has succeeded.
 */
export class LeaseRecord {
  readonly #scheduler: JobScheduler
  readonly #clock: Clock
  readonly #storeClock: StoreClock
  /** Durable workers whose record names no end of their leases. A worker leaves it before a commit that names one is sent. */
  #leasable: ReadonlySet<string> = new Set()
  /** Ends of the leases of silent workers, as the store has them or may have them. */
  readonly #ends = new Map<string, StoreTime>()
  /** Ends of the leases that calls for earlier incarnations may have set, likewise, and by this process's clock when they were recorded. */
  readonly #inheritedEnds = new Map<string, Readonly<{ overAt: StoreTime, expiresAt: Instant }>>()
  #durablyInherited: ReadonlySet<string> = new Set()

  constructor (scheduler: JobScheduler, clock: Clock, storeClock: StoreClock) {
    this.#scheduler = scheduler
    this.#clock = clock
    this.#storeClock = storeClock
  }

  /** Continues with what the owner before recorded. */
  restore (workers: readonly UsedWorker[]): void {
    for (const worker of workers) if (worker.leaseOverAt !== undefined) this.#ends.set(keyOf(worker), worker.leaseOverAt)
  }

  /** Whether the worker's lease may be extended: its record names no end of it, and names that of the lease that it may have inherited. */
  isLeasable (worker: WorkerIdentity): boolean {
    const key = keyOf(worker)
    return this.#leasable.has(key) && (this.#durablyInherited.has(key) || this.#inheritedOverAt(worker) === undefined)
  }

  /** Whether the record names the end of the worker's lease, or may. */
  hasEnd (worker: WorkerIdentity): boolean {
    return this.#ends.has(keyOf(worker))
  }

  /** Whether another record is due, as the worker has fallen silent or has reported, or as its inherited lease has another end. */
  isOutdated (worker: WorkerIdentity): boolean {
    return this.hasEnd(worker) !== (this.#overAt(worker, false) !== undefined) || this.#isInheritedEndOutdated(worker)
  }

  /** The workers as they are recorded by the next commit. */
  record (workers: readonly UsedWorker[], isReleasing: boolean): readonly UsedWorker[] {
    const silent = new Set<string>()
    const recorded = workers.map(worker => {
      const key = keyOf(worker)
      const leaseOverAt = this.#overAt(worker, isReleasing)
      const inheritedLeaseOverAt = this.#inheritedOverAt(worker)
      if (leaseOverAt === undefined) this.#ends.delete(key)
      else this.#ends.set(key, leaseOverAt)
      if (leaseOverAt !== undefined) silent.add(key)
      if (inheritedLeaseOverAt === undefined) this.#inheritedEnds.delete(key)
      else this.#inheritedEnds.set(key, { overAt: inheritedLeaseOverAt, expiresAt: this.#inheritedExpiresAt(worker) })
      return { ...worker, ...(leaseOverAt === undefined ? {} : { leaseOverAt }), ...(inheritedLeaseOverAt === undefined ? {} : { inheritedLeaseOverAt }) }
    })
    this.#leasable = new Set([...this.#leasable].filter(key => !silent.has(key)))
    this.#durablyInherited = new Set([...this.#durablyInherited].filter(key => this.#inheritedEnds.has(key)))
    return recorded
  }

  /** The commit with these workers has succeeded. */
  markDurable (workers: readonly UsedWorker[]): void {
    this.#leasable = new Set(workers.filter(({ leaseOverAt }) => leaseOverAt === undefined).map(keyOf))
    this.#durablyInherited = new Set(workers.filter(({ inheritedLeaseOverAt }) => inheritedLeaseOverAt !== undefined).map(keyOf))
  }

  // An end that was recorded holds until the worker is leasable again. For a reborn worker there is none, as a late
  // order for the incarnation before can set a lease that ends at any time.
  #overAt (worker: WorkerIdentity, isReleasing: boolean): StoreTime | undefined {
    const record = this.#recordOf(worker)
    if (record === undefined || record.isReborn) return undefined
    const recorded = this.#ends.get(keyOf(worker))
    if (!isSilent(record, recorded !== undefined || isReleasing)) return undefined
    const computed = this.#storeClock.toStoreTime(record.leaseExpiresAt, record.leaseKnownSince)
    return recorded === undefined || computed === undefined ? recorded ?? computed : brand<StoreTime>(Math.min(recorded, computed))
  }

  #inheritedOverAt (worker: WorkerIdentity): StoreTime | undefined {
    const record = this.#recordOf(worker)
    if (record?.needsInheritedLease(WORKER_LEASE_MS, this.#clock.now()) !== true) return undefined
    const { expiresAt, knownSince } = record.inheritedLease
    return this.#storeClock.toStoreTime(expiresAt, knownSince) ?? UNKNOWN_LEASE_END
  }

  #isInheritedEndOutdated (worker: WorkerIdentity): boolean {
    const overAt = this.#inheritedOverAt(worker)
    const recorded = this.#inheritedEnds.get(keyOf(worker))
    // The next owner need not wait for a worker that runs nothing.
    if (overAt === undefined) return recorded !== undefined && this.#inheritedExpiresAt(worker) > this.#clock.now()
    // Two translations of the same end differ by a few milliseconds, and both hold.
    return recorded === undefined || this.#inheritedExpiresAt(worker) > recorded.expiresAt || overAt < recorded.overAt - MAX_EXCESS_MS
  }

  #inheritedExpiresAt (worker: WorkerIdentity): Instant {
    return this.#recordOf(worker)?.inheritedLease.expiresAt ?? brand<Instant>(-Infinity)
  }

  #recordOf ({ id, incarnation }: WorkerIdentity): WorkerRecord | undefined {
    const record = this.#scheduler.workers.get(id)
    return record?.entry.incarnation === incarnation ? record : undefined
  }
}

const isSilent = ({ hasReported, isUnresponsive, failedCalls }: WorkerRecord, isRecordedOrReleasing: boolean): boolean => {
  if (!hasReported) return isRecordedOrReleasing || isUnresponsive
  return isRecordedOrReleasing ? isUnresponsive : failedCalls >= SILENT_CALLS
}
