/**
 * The fake VMs of a trace, and the faults that the trace injects.
 */
import { brand, SeededRandom, type CellId, type DataCentre, type RackId, type VmId } from '@auburnpin/common'
import { VM_LIST_LAG_MS } from './constants.ts'
import { FakeVm, type VmObserver } from './FakeVm.ts'
import type { GroundTruth } from './GroundTruth.ts'
import type { Trace } from './Trace.ts'

/** The VMs of one data centre, all owned by one cell. */
export type RegionCell = Readonly<{ id: CellId, vms: readonly FakeVm[] }>

/** All VMs of a trace, by cell and by id. */
export class Region {
  readonly cells: readonly RegionCell[]
  readonly #vms = new Map<VmId, FakeVm>()
  readonly #lostAt = new Map<VmId, number>()
  readonly #trace: Trace

  constructor (trace: Trace, groundTruth: GroundTruth, observer: VmObserver) {
    this.#trace = trace
    const { seed } = trace.region
    this.cells = trace.region.dataCentres.map(dataCentre => {
      const vms: FakeVm[] = []
      for (let index = 0; index < dataCentre.vms; index++) {
        const id = brand<VmId>(`${dataCentre.name}-${index + 1}`)
        const accelerators = index < dataCentre.acceleratorVms ? dataCentre.accelerators : 0
        const vm = new FakeVm({
          id,
          dataCentre: brand<DataCentre>(dataCentre.name),
          rack: brand<RackId>(`${dataCentre.name}-r${Math.floor(index / dataCentre.vmsPerRack) + 1}`),
          address: `${id}:1`,
          resources: { ...dataCentre.resources, accelerators },
          isLeaving: false
        }, groundTruth, new SeededRandom(seed + this.#vms.size + 1), observer)
        vms.push(vm)
        this.#vms.set(id, vm)
      }
      return { id: brand<CellId>(`${dataCentre.name}-0`), vms }
    })
  }

  get vms (): Iterable<FakeVm> {
    return this.#vms.values()
  }

  get (id: VmId): FakeVm | undefined {
    return this.#vms.get(id)
  }

  /** Whether the VM list, which lags behind, still contains the VM. */
  isListed (vm: FakeVm, nowMs: number): boolean {
    const lostAt = this.#lostAt.get(vm.listed.id)
    return lostAt === undefined || nowMs - lostAt < VM_LIST_LAG_MS
  }

  /** Applies the faults due at `nowMs`: racks are lost and restored, workers start and stop failing their tasks. */
  applyFaults (nowMs: number): void {
    for (const { rack, atMs, untilMs } of this.#trace.linesOf('rack-lost')) {
      for (const vm of this.#vms.values()) {
        if (vm.listed.rack !== rack) continue
        if (atMs === nowMs) this.#lose(vm, nowMs)
        if (untilMs === nowMs) this.#restore(vm)
      }
    }
    for (const { vms, atMs, untilMs } of this.#trace.linesOf('workers-fail')) {
      for (const id of vms) {
        const vm = this.#vms.get(brand<VmId>(id))
        if (vm !== undefined && atMs === nowMs) vm.isFailing = true
        if (vm !== undefined && untilMs === nowMs) vm.isFailing = false
      }
    }
  }

  #lose (vm: FakeVm, nowMs: number): void {
    vm.lose()
    this.#lostAt.set(vm.listed.id, nowMs)
  }

  #restore (vm: FakeVm): void {
    vm.isLost = false
    this.#lostAt.delete(vm.listed.id)
  }
}
