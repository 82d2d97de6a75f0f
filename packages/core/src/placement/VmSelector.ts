/**
 * Selects a VM for a task from a sample of those with enough free capacity.
 */
import { fitsWithin, type Random, type Resources, type ServiceName, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, Vm } from '../cell/types.ts'
import { PLACEMENT_CANDIDATES, REPLICA_CANDIDATES } from '../constants.ts'
import type { ServiceLoads } from '../interference/ServiceLoads.ts'
import type { ReplicaSpread } from './ReplicaSpread.ts'
import { hasTrial, isOnTrial, tasksOn, type VmCapacity } from './VmCapacity.ts'

/** How batch tasks are placed. */
export type PlacementRule = 'interference' | 'best-fit' | 'first-fit'

/** The selected VM; without one, `wouldSlow` is a service that the task would push over its latency limit. */
export type Selection = Readonly<{ vm?: Vm, wouldSlow?: ServiceName }>

/** What the selection depends on besides the state. */
export type SelectionSettings = Readonly<{
  rule: PlacementRule
  /** Predicted latency ratio of a service (99th percentile over objective) up to which batch tasks are placed beside it. */
  tailLimit: number
}>

/** Which VMs one selection may take. */
export type SelectionRules = Readonly<{
  /** Predicted interference adds to the cost of a VM but excludes none. */
  mustPlace: boolean
  /** A task on trial may start beside attempts that have not survived their starts, unless these are suspects as well. */
  isTrialShared: boolean
}>

// Costs are in units of one VM: a cost of 1 offsets the free processors of a whole VM.
const FAILED_ON_VM_COST = 10
const CRASHED_ON_VM_COST = 100
const SUSPECT_NEIGHBOUR_COST = 1
const ACCELERATOR_WASTE_COST = 5
const SAME_VM_COST = 100
const SAME_RACK_COST = 10
const INTERFERENCE_COST = 4

/** Examines a bounded number of candidates, whatever the number of VMs. */
export class VmSelector {
  readonly #capacity: VmCapacity
  readonly #loads: ServiceLoads
  readonly #spread: ReplicaSpread
  readonly #random: Random
  #settings: SelectionSettings

  constructor (capacity: VmCapacity, loads: ServiceLoads, spread: ReplicaSpread, random: Random, settings: SelectionSettings) {
    this.#capacity = capacity
    this.#loads = loads
    this.#spread = spread
    this.#random = random
    this.#settings = settings
  }

  configure (settings: SelectionSettings): void {
    this.#settings = settings
  }

  select (state: CellState, task: Task, { mustPlace, isTrialShared }: SelectionRules): Selection {
    const reservedVm = this.#reservedVm(state, task, isTrialShared)
    if (reservedVm !== undefined) return { vm: reservedVm }
    const wanted = task.spec.resources
    const isReplica = task.spec.kind === 'replica'
    const isFirstFit = this.#settings.rule === 'first-fit' && !isReplica
    const start = isFirstFit ? 0 : this.#random.fraction()
    const isTrial = isOnTrial(task)
    const found = this.#capacity.free.find(wanted, isReplica || isTrial ? REPLICA_CANDIDATES : PLACEMENT_CANDIDATES, start)
    const candidates = isTrial ? found.filter(vm => isApart(state, vm, isTrialShared)) : found
    if (isFirstFit && candidates[0] !== undefined) return { vm: state.vms.get(candidates[0]) }
    return isReplica ? this.#cheapest(state, candidates, vm => this.#replicaCost(state, task, vm)) : this.#selectForBatch(state, task, candidates, mustPlace)
  }

  /** Whether a sampled VM other than `from` could take the task with every service there within its latency limit. */
  hasAlternative (state: CellState, task: Task, from: VmId): boolean {
    const candidates = this.#capacity.free.find(task.spec.resources, PLACEMENT_CANDIDATES, this.#random.fraction())
    for (const id of candidates) {
      if (id !== from && this.#firstSlowedService(state, task, id) === undefined) return true
    }
    return false
  }

  #reservedVm (state: CellState, task: Task, isTrialShared: boolean): Vm | undefined {
    const reservation = this.#capacity.reservationOf(task.spec.id)
    const vm = reservation === undefined ? undefined : state.vms.get(reservation.vm)
    if (vm?.session === undefined || vm.isLeaving || vm.isEvacuated === true || hasTrial(state, vm.id)) return undefined
    if (isOnTrial(task) && !isApart(state, vm.id, isTrialShared)) return undefined
    return fitsWithin(task.spec.resources, state.freeOn(vm)) ? vm : undefined
  }

  #selectForBatch (state: CellState, task: Task, candidates: readonly VmId[], mustPlace: boolean): Selection {
    if (this.#settings.rule === 'best-fit') return this.#cheapest(state, candidates, vm => this.#packingCost(state, task, vm))
    const slowedServices: ServiceName[] = []
    const selection = this.#cheapest(state, candidates, vm => {
      const slowed = this.#firstSlowedService(state, task, vm.id)
      if (slowed !== undefined && !mustPlace) {
        slowedServices.push(slowed)
        return Infinity
      }
      return this.#packingCost(state, task, vm) + INTERFERENCE_COST * this.#interferenceOn(state, task, vm.id)
    })
    return selection.vm === undefined ? { wouldSlow: slowedServices[0] } : selection
  }

  #cheapest (state: CellState, candidates: readonly VmId[], costOf: (vm: Vm) => number): Selection {
    let best: Vm | undefined
    let bestCost = Infinity
    for (const id of candidates) {
      const vm = state.vms.get(id) as Vm
      const cost = costOf(vm)
      if (cost >= bestCost) continue
      best = vm
      bestCost = cost
    }
    return { vm: best }
  }

  #replicaCost (state: CellState, task: Task, vm: Vm): number {
    const service = task.spec.service as ServiceName
    const free = freeShare(this.#capacity.free.get(vm.id), vm.resources)
    return historyCost(state, task, vm) + SAME_VM_COST * this.#spread.onVm(service, vm.id) + SAME_RACK_COST * this.#spread.onRack(service, vm.rack) - free
  }

  #packingCost (state: CellState, task: Task, vm: Vm): number {
    const free = this.#capacity.free.get(vm.id)
    const isWaste = task.spec.resources.accelerators === 0 && free.accelerators > 0
    return historyCost(state, task, vm) + (isWaste ? ACCELERATOR_WASTE_COST : 0) + freeShare(free, vm.resources)
  }

  #interferenceOn (state: CellState, task: Task, vm: VmId): number {
    let interference = 0
    for (const prediction of this.#loads.predictOn(state, vm)) interference += this.#loads.interferenceOf(task, prediction)
    return interference
  }

  #firstSlowedService (state: CellState, task: Task, vm: VmId): ServiceName | undefined {
    for (const prediction of this.#loads.predictOn(state, vm)) {
      if (prediction.ratio + this.#loads.interferenceOf(task, prediction) > this.#settings.tailLimit) return prediction.service
    }
    return undefined
  }
}

// A suspect starts apart from others: they are lost if it crashes its worker again, and may be suspects themselves.
const historyCost = (state: CellState, { failedOn, crashedOn }: Task, vm: Vm): number => {
  const failed = failedOn?.includes(vm.id) === true ? FAILED_ON_VM_COST : 0
  if (crashedOn === undefined) return failed
  const crashed = crashedOn.includes(vm.id) ? CRASHED_ON_VM_COST : 0
  return failed + crashed + SUSPECT_NEIGHBOUR_COST * state.placedOn(vm.id).size
}

// Otherwise a crash would not show which of them caused it.
const isApart = (state: CellState, vm: VmId, isShared: boolean): boolean => {
  for (const { placement, crashedOn } of tasksOn(state, vm)) {
    if (placement?.hasSurvived !== true && (crashedOn !== undefined || !isShared)) return false
  }
  return true
}

const freeShare = (free: Resources, total: Resources): number => free.processors / Math.max(total.processors, 1)
