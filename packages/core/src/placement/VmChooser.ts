/**
 * Chooses a VM for a task out of a few that have room.
 */
import { fitsWithin, type Random, type Resources, type ServiceName, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, Vm } from '../cell/types.ts'
import { PLACEMENT_CANDIDATES, REPLICA_CANDIDATES } from '../constants.ts'
import type { ServiceLoads } from '../interference/ServiceLoads.ts'
import type { ReplicaSpread } from './ReplicaSpread.ts'
import type { Rooms } from './Rooms.ts'

/** How batch work is placed. */
export type PlacementRule = 'interference' | 'best-fit' | 'first-fit'

/** The chosen VM, or the service for whose sake none was chosen. */
export type Choice = Readonly<{ vm?: Vm, spared?: ServiceName }>

/** What the choice depends on besides the state. */
export type ChooserSettings = Readonly<{
  rule: PlacementRule
  /** Ratio of answer time to objective up to which batch work is put beside a service. */
  tailLimit: number
}>

// Costs are in shares of a VM; each constant is worth that share of free room.
const FAILED_HERE_COST = 10
const ACCELERATOR_WASTE_COST = 5
const SAME_VM_COST = 100
const SAME_RACK_COST = 10
const HARM_COST = 4

/** Looks at a bounded sample of candidates, whatever the number of VMs. */
export class VmChooser {
  readonly #rooms: Rooms
  readonly #loads: ServiceLoads
  readonly #spread: ReplicaSpread
  readonly #random: Random
  #settings: ChooserSettings

  constructor (rooms: Rooms, loads: ServiceLoads, spread: ReplicaSpread, random: Random, settings: ChooserSettings) {
    this.#rooms = rooms
    this.#loads = loads
    this.#spread = spread
    this.#random = random
    this.#settings = settings
  }

  configure (settings: ChooserSettings): void {
    this.#settings = settings
  }

  /** With `mustPlace` a service's expected tail rules no VM out, it only costs. */
  choose (state: CellState, task: Task, mustPlace: boolean): Choice {
    const reserved = this.#reservedFor(state, task)
    if (reserved !== undefined) return { vm: reserved }
    const wanted = task.spec.resources
    const isReplica = task.spec.kind === 'replica'
    const isFirstFit = this.#settings.rule === 'first-fit' && !isReplica
    const start = isFirstFit ? 0 : this.#random.fraction()
    const found = this.#rooms.free.find(wanted, isReplica ? REPLICA_CANDIDATES : PLACEMENT_CANDIDATES, start)
    if (isFirstFit && found[0] !== undefined) return { vm: state.vms.get(found[0]) }
    return isReplica ? this.#cheapest(state, found, vm => this.#replicaCost(task, vm)) : this.#chooseBatch(state, task, found, mustPlace)
  }

  /** A VM other than `from` on which the task would keep every service within its limit. */
  hasBetterPlace (state: CellState, task: Task, from: VmId): boolean {
    const found = this.#rooms.free.find(task.spec.resources, PLACEMENT_CANDIDATES, this.#random.fraction())
    for (const id of found) {
      if (id !== from && this.#harmedBy(state, task, id) === undefined) return true
    }
    return false
  }

  #reservedFor (state: CellState, task: Task): Vm | undefined {
    const reservation = this.#rooms.reservationOf(task.spec.id)
    const vm = reservation === undefined ? undefined : state.vms.get(reservation.vm)
    if (vm?.session === undefined || vm.isLeaving) return undefined
    return fitsWithin(task.spec.resources, state.freeOn(vm)) ? vm : undefined
  }

  #chooseBatch (state: CellState, task: Task, found: readonly VmId[], mustPlace: boolean): Choice {
    if (this.#settings.rule === 'best-fit') return this.#cheapest(state, found, vm => this.#roomCost(task, vm))
    const spared: ServiceName[] = []
    const choice = this.#cheapest(state, found, vm => {
      const harmed = this.#harmedBy(state, task, vm.id)
      if (harmed !== undefined && !mustPlace) {
        spared.push(harmed)
        return Infinity
      }
      return this.#roomCost(task, vm) + HARM_COST * this.#harmOn(state, task, vm.id)
    })
    return choice.vm === undefined ? { spared: spared[0] } : choice
  }

  #cheapest (state: CellState, found: readonly VmId[], costOf: (vm: Vm) => number): Choice {
    let best: Vm | undefined
    let bestCost = Infinity
    for (const id of found) {
      const vm = state.vms.get(id) as Vm
      const cost = costOf(vm)
      if (cost >= bestCost) continue
      best = vm
      bestCost = cost
    }
    return { vm: best }
  }

  #replicaCost ({ spec, failedOn }: Task, vm: Vm): number {
    const service = spec.service as ServiceName
    const failed = failedOn?.includes(vm.id) === true ? FAILED_HERE_COST : 0
    const free = shareLeft(this.#rooms.free.roomOn(vm.id), vm.resources)
    return failed + SAME_VM_COST * this.#spread.onVm(service, vm.id) + SAME_RACK_COST * this.#spread.onRack(service, vm.rack) - free
  }

  #roomCost ({ spec, failedOn }: Task, vm: Vm): number {
    const room = this.#rooms.free.roomOn(vm.id)
    const failed = failedOn?.includes(vm.id) === true ? FAILED_HERE_COST : 0
    const isWaste = spec.resources.accelerators === 0 && room.accelerators > 0
    return failed + (isWaste ? ACCELERATOR_WASTE_COST : 0) + shareLeft(room, vm.resources)
  }

  #harmOn (state: CellState, task: Task, vm: VmId): number {
    let harm = 0
    for (const expected of this.#loads.expectOn(state, vm)) harm += this.#loads.harmOf(task, expected)
    return harm
  }

  #harmedBy (state: CellState, task: Task, vm: VmId): ServiceName | undefined {
    for (const expected of this.#loads.expectOn(state, vm)) {
      if (expected.ratio + this.#loads.harmOf(task, expected) > this.#settings.tailLimit) return expected.service
    }
    return undefined
  }
}

const shareLeft = (room: Resources, whole: Resources): number => room.processors / Math.max(whole.processors, 1)
