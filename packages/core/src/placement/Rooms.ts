/**
 * Indexes over the room on a cell's VMs, kept up with the state's changes.
 */
import { addResources, NO_RESOURCES, subtractResources, type Instant, type Resources, type TaskId, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, Vm } from '../cell/types.ts'
import type { WorkerHealth } from '../health/WorkerHealth.ts'
import { CapacityIndex } from './CapacityIndex.ts'

/** Room on a VM that is being cleared for one task. */
export type Reservation = Readonly<{ task: TaskId, vm: VmId, resources: Resources, madeAt: Instant }>

/** Room for anyone, room that evictions would make, and the VMs' whole sizes. */
export class Rooms {
  readonly free = new CapacityIndex()
  readonly evictable = new CapacityIndex()
  readonly whole = new CapacityIndex()
  readonly #health: WorkerHealth
  readonly #dirty = new Set<VmId>()
  readonly #reservations = new Map<TaskId, Reservation>()
  readonly #reservedOn = new Map<VmId, Set<Reservation>>()
  #wholeSize: Resources = NO_RESOURCES
  #hasChanged = false

  constructor (health: WorkerHealth) {
    this.#health = health
  }

  /** Total size of all VMs on the list. */
  get wholeSize (): Resources {
    return this.#wholeSize
  }

  /** Whether a refresh has found other room than before since the last call. */
  takeChanged (): boolean {
    const hasChanged = this.#hasChanged
    this.#hasChanged = false
    return hasChanged
  }

  /** The VM's indexes are set anew at the next `refresh`. */
  touch (vm: VmId): void {
    this.#dirty.add(vm)
  }

  /** Brings the indexes of touched VMs up to date. */
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
    this.touch(reservation.vm)
  }

  release (task: TaskId): void {
    const reservation = this.#reservations.get(task)
    if (reservation === undefined) return
    this.#reservations.delete(task)
    this.#reservedOn.get(reservation.vm)?.delete(reservation)
    this.touch(reservation.vm)
  }

  /** What is left on a VM for tasks without a reservation there. */
  unreservedOn (state: CellState, vm: Vm): Resources {
    let room = state.freeOn(vm)
    for (const { resources } of this.#reservedOn.get(vm.id) ?? []) room = subtractResources(room, resources)
    return room
  }

  #index (state: CellState, id: VmId, now: Instant): void {
    const vm = state.vms.get(id)
    this.#indexWhole(id, vm)
    const before = this.free.roomOn(id)
    this.#indexFree(state, id, vm, now)
    if (!isSameSize(before, this.free.roomOn(id))) this.#hasChanged = true
  }

  #indexFree (state: CellState, id: VmId, vm: Vm | undefined, now: Instant): void {
    const isUsable = vm?.session !== undefined && !vm.isLeaving && vm.missingSince === undefined
    if (!isUsable || !this.#health.isOpen(id, now)) {
      this.free.delete(id)
      this.evictable.delete(id)
      return
    }
    const room = this.unreservedOn(state, vm)
    this.free.set(id, room)
    let evictable = room
    for (const task of tasksOn(state, id)) {
      if (isEvictable(task) || isStopping(task)) evictable = addResources(evictable, task.spec.resources)
    }
    this.evictable.set(id, evictable)
  }

  #indexWhole (id: VmId, vm: Vm | undefined): void {
    const before = this.whole.roomOn(id)
    const isListed = vm !== undefined && vm.missingSince === undefined && !vm.isLeaving
    const after = isListed ? vm.resources : NO_RESOURCES
    this.#wholeSize = addResources(subtractResources(this.#wholeSize, before), after)
    if (!isSameSize(before, after)) this.#hasChanged = true
    if (isListed) this.whole.set(id, after)
    else this.whole.delete(id)
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

/** Whether the present attempt has been told to stop, so that its room is about to come free. */
export const isStopping = ({ placement, isWithdrawn }: Task): boolean => placement !== undefined && (placement.isStopping || isWithdrawn)

/** Batch work that is not urgent and not already on its way out. */
export const isEvictable = ({ spec, placement, isWithdrawn }: Task): boolean =>
  spec.kind === 'batch' && !spec.isUrgent && !isWithdrawn && placement !== undefined && !placement.isStopping
