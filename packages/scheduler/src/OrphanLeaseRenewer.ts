/**
 * Renewal of worker leases while the store is unavailable and the owner of their cell is unreachable.
 */
import { rendezvousRank, Ticker, type CellId, type Clock, type DataCentre, type Log, type MemberId, type RackId, type VmId } from '@auburnpin/common'
import { WORKER_LEASE_MS } from '@auburnpin/core'
import type { CellDirectory, Membership } from '@auburnpin/cluster'
import type { Workers } from '@auburnpin/ports'
import { ORPHAN_RENEWAL_INTERVAL_MS } from './constants.ts'

/** Dependencies of the lease renewer. */
export type OrphanLeasePorts = Readonly<{
  membership: Membership
  directory: CellDirectory
  workers: Workers
  clock: Clock
  log: Log
  /** Members that this one can reach now; it may or may not include itself. */
  reachable: () => readonly MemberId[]
}>

/** A VM as in the last VM list that was read. */
export type RackedVm = Readonly<{ id: VmId, dataCentre: DataCentre, rack: RackId, address: string }>

/**
 * Keeps tasks running while the store is unavailable and no member can claim their cell. It makes no scheduling
 * decisions. Each VM without a reachable owner is assigned to one reachable member, which renews the lease of its
 * worker. Members whose views differ may both renew; this is harmless, because a renewal carries the session and
 * epoch that the worker reports, so it opens no new session, and the worker refuses it once a new owner with a
 * higher epoch has taken over.
 */
export class OrphanLeaseRenewer {
  readonly #ports: OrphanLeasePorts
  readonly #cellOf: (vm: RackedVm) => CellId
  readonly #ticker: Ticker
  #vms: readonly RackedVm[] = []

  constructor (ports: OrphanLeasePorts, cellOf: (vm: RackedVm) => CellId) {
    this.#ports = ports
    this.#cellOf = cellOf
    this.#ticker = new Ticker(ports.clock, ORPHAN_RENEWAL_INTERVAL_MS, () => this.#renewAll(), error => ports.log.error(String(error)))
  }

  /** Replaces the VM list. An empty list is ignored, because it would stop all renewals. */
  updateVms (vms: readonly RackedVm[]): void {
    if (vms.length > 0) this.#vms = vms
  }

  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** VMs whose leases this member should renew now. */
  get vmsToRenew (): readonly RackedVm[] {
    // A member with a valid lease can reach the store, so cells can be claimed and their owners renew.
    if (this.#ports.membership.isLeaseHeld) return []
    const self = this.#ports.membership.identity.member
    const reachable = [...new Set([self, ...this.#ports.reachable()])]
    return this.#vms.filter(vm => this.#isOrphaned(vm, reachable) && rendezvousRank(vm.id, reachable)[0] === self)
  }

  #isOrphaned (vm: RackedVm, reachable: readonly MemberId[]): boolean {
    const owner = this.#ports.directory.cells.get(this.#cellOf(vm))?.row.owner
    return owner === undefined || owner === null || !reachable.includes(owner)
  }

  async #renewAll (): Promise<void> {
    await Promise.all(this.vmsToRenew.map(vm => this.#renew(vm)))
  }

  async #renew (vm: RackedVm): Promise<void> {
    const worker = this.#ports.workers.at(vm.address)
    const report = await worker.report()
    if (report.err || report.val.session === null) return
    const { session, epoch } = report.val
    const renewed = await worker.lease({ session, epoch, ttlMs: WORKER_LEASE_MS, isNew: false })
    if (renewed.err) this.#ports.log.debug('Worker lease could not be renewed in place of the cell owner', { vm: vm.id, reason: renewed.val.message })
  }
}
