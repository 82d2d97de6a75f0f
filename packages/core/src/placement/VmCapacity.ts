/**
 * Indexes over the capacity of a cell's VMs, updated on each change of the state.
 */
import { addResources, NO_RESOURCES, subtractResources, type Instant, type Resources, type TaskId, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, Vm } from '../cell/types.ts'
import { CRASHES_TO_GIVE_UP } from '../constants.ts'
import type { WorkerHealth } from '../health/WorkerHealth.ts'
import { CapacityIndex } from './CapacityIndex.ts'

/** Capacity on a VM that is reserved for one task while evictions there free it. */
export type Reservation = Readonly<{ task: TaskId, vm: VmId, resources: Resources, madeAt: Instant }>

/** Per VM: unreserved free capacity, the same with all evictable tasks stopped, and total capacity. */
export class VmCapacity {
  readonly free = new CapacityIndex()
  readonly freeAfterEviction = new CapacityIndex()
  readonly total = new CapacityIndex()
  readonly #health: WorkerHealth
  readonly #dirty = new Set<VmId>()
  readonly #reservations = new Map<TaskId, Reservation>()
  readonly #reservedOn = new Map<VmId, Set<Reservation>>()
  #cellTotal: Resources = NO_RESOURCES
  #hasChanged = false

  constructor (health: WorkerHealth) {
    this.#health = health
  }

  /**
   * Sum of the capacity of all listed VMs that are not leaving. Those of an evacuated data centre are included, so that
   * tasks there are not reported as too large for the cell.
   */
  get cellTotal (): Resources {
    return this.#cellTotal
  }

  /** Whether a refresh has changed free or total capacity since the last call; clears the flag. */
  consumeChanged (): boolean {
    const hasChanged = this.#hasChanged
    this.#hasChanged = false
    return hasChanged
  }

  /** Marks a VM to be indexed again by the next `refresh`. */
  invalidate (vm: VmId): void {
    this.#dirty.add(vm)
  }

  /** Updates the indexes of all invalidated VMs. */
  refresh (state: CellState, now: Instant): void {
    for (const id of this.#dirty) this.#index(state, id, now)
    this.#dirty.clear()
  }

  reservationOf (task: TaskId): Reservation | undefined {
    return this.#reservations.get(task)
  }

  get reservations (): Iterable<Reservation> {
    return this.#reservations.values()
  }

  reserve (reservation: Reservation): void {
    this.release(reservation.task)
    this.#reservations.set(reservation.task, reservation)
    const onVm = this.#reservedOn.get(reservation.vm) ?? new Set<Reservation>()
    this.#reservedOn.set(reservation.vm, onVm.add(reservation))
    this.invalidate(reservation.vm)
  }

  release (task: TaskId): void {
    const reservation = this.#reservations.get(task)
    if (reservation === undefined) return
    this.#reservations.delete(task)
    this.#reservedOn.get(reservation.vm)?.delete(reservation)
    this.invalidate(reservation.vm)
  }

  /** Free capacity of a VM less its reservations. */
  unreservedOn (state: CellState, vm: Vm): Resources {
    let free = state.freeOn(vm)
    for (const { resources } of this.#reservedOn.get(vm.id) ?? []) free = subtractResources(free, resources)
    return free
  }

  #index (state: CellState, id: VmId, now: Instant): void {
    const vm = state.vms.get(id)
    this.#indexTotal(id, vm)
    const before = this.free.get(id)
    this.#indexFree(state, id, vm, now)
    if (!isSameSize(before, this.free.get(id))) this.#hasChanged = true
  }

  #indexFree (state: CellState, id: VmId, vm: Vm | undefined, now: Instant): void {
    const isUsable = vm?.session !== undefined && !vm.isLeaving && vm.isEvacuated !== true && vm.missingSince === undefined
    if (!isUsable || !this.#health.acceptsTasks(id, now)) {
      this.#exclude(id)
      return
    }
    const free = this.unreservedOn(state, vm)
    let freeAfterEviction = free
    for (const task of tasksOn(state, id)) {
      if (isOnTrial(task)) {
        this.#exclude(id)
        return
      }
      if (isEvictable(task) || isStopping(task)) freeAfterEviction = addResources(freeAfterEviction, task.spec.resources)
    }
    this.free.set(id, free)
    this.freeAfterEviction.set(id, freeAfterEviction)
  }

  #exclude (id: VmId): void {
    this.free.delete(id)
    this.freeAfterEviction.delete(id)
  }

  #indexTotal (id: VmId, vm: Vm | undefined): void {
    const before = this.total.get(id)
    const isListed = vm !== undefined && vm.missingSince === undefined && !vm.isLeaving
    const after = isListed ? vm.resources : NO_RESOURCES
    this.#cellTotal = addResources(subtractResources(this.#cellTotal, before), after)
    if (!isSameSize(before, after)) this.#hasChanged = true
    if (isListed) this.total.set(id, after)
    else this.total.delete(id)
  }
}

const isSameSize = (left: Resources, right: Resources): boolean =>
  left.processors === right.processors && left.memoryMb === right.memoryMb && left.accelerators === right.accelerators

/** The tasks whose present attempt is on a VM. */
export const tasksOn = (state: CellState, vm: VmId): Task[] => {
  const tasks: Task[] = []
  for (const id of state.placedOn(vm)) tasks.push(state.tasks.get(id) as Task)
  return tasks
}

/** Whether one more crash would have the task given up, so that no other start may confuse the verdict. */
export const isOnTrial = ({ crashedOn }: Task): boolean => crashedOn?.length === CRASHES_TO_GIVE_UP - 1

/** Whether a task on trial has been started on the VM and has not survived its start yet. */
export const hasTrial = (state: CellState, vm: VmId): boolean => {
  for (const task of tasksOn(state, vm)) if (isOnTrial(task)) return true
  return false
}

/** Whether the present attempt has been ordered to stop, so that its capacity is about to be freed. */
export const isStopping = ({ placement, isWithdrawn }: Task): boolean => placement !== undefined && (placement.isStopping || isWithdrawn)

/** Whether a task may be evicted: a placed batch task that is neither urgent nor already stopping. */
export const isEvictable = ({ spec, placement, isWithdrawn }: Task): boolean =>
  spec.kind === 'batch' && !spec.isUrgent && !isWithdrawn && placement !== undefined && !placement.isStopping
