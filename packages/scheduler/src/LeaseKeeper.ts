/**
 * Renews the leases of workers whose cell's owner is gone while the store is down, and decides nothing.
 */
import { rendezvousRank, Ticker, type CellId, type Clock, type DataCentre, type Log, type MemberId, type RackId, type VmId } from '@auburnpin/common'
import { WORKER_LEASE_MS } from '@auburnpin/core'
import type { CellDirectory, Membership } from '@auburnpin/cluster'
import type { Workers } from '@auburnpin/ports'
import { KEEPER_MS } from './constants.ts'

/** What a lease keeper needs from outside. */
export type KeeperPorts = Readonly<{
  membership: Membership
  directory: CellDirectory
  workers: Workers
  clock: Clock
  log: Log
  /** Members that this one can talk to just now, itself among them or not. */
  reachable: () => readonly MemberId[]
}>

/** A VM as the VM list named it last. */
export type KeptVm = Readonly<{ id: VmId, dataCentre: DataCentre, rack: RackId, address: string }>

/**
 * While no owner can be claimed, work runs on as long as someone renews its worker's lease. Each orphaned VM is
 * dealt to one of the members that answer; two that disagree both renew, which does no harm: a renewal names the
 * worker's own session and epoch, so it opens nothing, and a later owner's epoch puts an end to it.
 */
export class LeaseKeeper {
  readonly #ports: KeeperPorts
  readonly #cellOf: (vm: KeptVm) => CellId
  readonly #ticker: Ticker
  #vms: readonly KeptVm[] = []

  constructor (ports: KeeperPorts, cellOf: (vm: KeptVm) => CellId) {
    this.#ports = ports
    this.#cellOf = cellOf
    this.#ticker = new Ticker(ports.clock, KEEPER_MS, () => this.#keep(), error => ports.log.error(String(error)))
  }

  /** Takes in the whole VM list; an empty one names nobody who could be renewed, so the last one stays. */
  listVms (vms: readonly KeptVm[]): void {
    if (vms.length > 0) this.#vms = vms
  }

  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** VMs whose leases this member should renew now. */
  get kept (): readonly KeptVm[] {
    // Whoever holds a lease has the store, and with it whoever should claim the cell.
    if (this.#ports.membership.isLeaseHeld) return []
    const self = this.#ports.membership.identity.member
    const answering = [...new Set([self, ...this.#ports.reachable()])]
    return this.#vms.filter(vm => this.#isOrphaned(vm, answering) && rendezvousRank(vm.id, answering)[0] === self)
  }

  #isOrphaned (vm: KeptVm, answering: readonly MemberId[]): boolean {
    const owner = this.#ports.directory.cells.get(this.#cellOf(vm))?.row.owner
    return owner === undefined || owner === null || !answering.includes(owner)
  }

  async #keep (): Promise<void> {
    await Promise.all(this.kept.map(vm => this.#renew(vm)))
  }

  async #renew (vm: KeptVm): Promise<void> {
    const worker = this.#ports.workers.at(vm.address)
    const report = await worker.report()
    if (report.err || report.val.session === null) return
    const { session, epoch } = report.val
    const renewed = await worker.lease({ session, epoch, ttlMs: WORKER_LEASE_MS, isNew: false })
    if (renewed.err) this.#ports.log.debug('A lease could not be renewed for another owner', { vm: vm.id, reason: renewed.val.message })
  }
}
