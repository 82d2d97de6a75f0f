/**
 * A cell's tasks and VMs, with the resources committed on each VM.
 */
import {
  addResources, assertInvariant, fitsWithin, copyWith, NO_RESOURCES, subtractResources,
  type Instant, type Resources, type TaskId, type VmId
} from '@auburnpin/common'
import { applyTransition, isFinal } from './applyTransition.ts'
import { DurableTasks, taskIdOf } from './DurableTasks.ts'
import type { StateWatcher } from './StateWatcher.ts'
import { EMPTY_LIST_CONFIRMATION_MS } from '../constants.ts'
import type { ListedVm, Placement, Task, Transition, Vm } from './types.ts'

/** State of one cell in memory. Durable fields of a task change by transitions only. */
export class CellState {
  readonly #tasks = new Map<TaskId, Task>()
  readonly #durable = new DurableTasks(this.#tasks)
  readonly #waiting = new Set<TaskId>()
  readonly #vms = new Map<VmId, Vm>()
  readonly #committed = new Map<VmId, Resources>()
  readonly #placed = new Map<VmId, Set<TaskId>>()
  readonly #unlistedSince = new Map<VmId, Instant>()
  readonly #finalSince = new Map<TaskId, Instant>()
  #emptyListSince: Instant | undefined
  #watcher: StateWatcher | undefined

  /** Reports every later change to `watcher`. */
  watch (watcher: StateWatcher): void {
    this.#watcher = watcher
  }

  get tasks (): ReadonlyMap<TaskId, Task> {
    return this.#tasks
  }

  /** Tasks as recorded in the journal; no other version may be shown outside the cell. */
  get durable (): DurableTasks {
    return this.#durable
  }

  /** Ids of the queued tasks, which may be placed. */
  get waiting (): ReadonlySet<TaskId> {
    return this.#waiting
  }

  get vms (): ReadonlyMap<VmId, Vm> {
    return this.#vms
  }

  /** Sum of the declared sizes of all attempts on the VM that are not confirmed to have ended. */
  committedOn (vm: VmId): Resources {
    return this.#committed.get(vm) ?? NO_RESOURCES
  }

  /** The VM's free capacity. */
  freeOn (vm: Vm): Resources {
    return subtractResources(vm.resources, this.committedOn(vm.id))
  }

  /** Tasks whose current attempt is placed on the VM. */
  placedOn (vm: VmId): ReadonlySet<TaskId> {
    return this.#placed.get(vm) ?? EMPTY_TASKS
  }

  /** Applies one transition, after asserting that it does not overcommit a VM. */
  apply (transition: Transition, now: Instant): void {
    const id = taskIdOf(transition)
    const before = this.#tasks.get(id)
    if (transition.kind === 'assigned' && before !== undefined) this.#assertFits(before, transition.vm)
    const after = applyTransition(before, transition, now)
    this.#durable.recordChange(id, before)
    this.#release(before)
    this.#commit(after)
    if (after === undefined) this.#tasks.delete(id)
    else this.#tasks.set(id, after)
    if (after?.state === 'queued') this.#waiting.add(id)
    else this.#waiting.delete(id)
    this.#trackFinal(id, after, now)
    this.#watcher?.taskChanged(before, after)
  }

  /** Finished, failed and cancelled tasks with the time when this owner first observed them as final, oldest first. */
  get finalSince (): ReadonlyMap<TaskId, Instant> {
    return this.#finalSince
  }

  /** Adds a task as read from a snapshot. */
  load (task: Task, now: Instant): void {
    this.#commit(task)
    this.#tasks.set(task.spec.id, task)
    if (task.state === 'queued') this.#waiting.add(task.spec.id)
    this.#trackFinal(task.spec.id, task, now)
    this.#watcher?.taskChanged(undefined, task)
  }

  /** Changes fields of a placement that are not durable, such as those learnt from worker reports. */
  updatePlacement (id: TaskId, changes: Partial<Placement>): void {
    const task = this.#tasks.get(id)
    if (task?.placement === undefined) return
    const placement = copyWith(task.placement, changes)
    const state = placement.isRunning && task.state === 'starting' ? 'running' : task.state
    this.#tasks.set(id, copyWith(task, { placement, state }))
  }

  /**
   * Applies the VM list: adds new VMs, marks missing ones that have tasks, removes the other missing ones.
   * An empty list is ignored until it has stayed empty for `EMPTY_LIST_CONFIRMATION_MS`.
   */
  updateVms (listed: readonly ListedVm[], now: Instant): void {
    if (listed.length > 0) this.#emptyListSince = undefined
    else this.#emptyListSince ??= now
    if (this.#emptyListSince !== undefined && now - this.#emptyListSince < EMPTY_LIST_CONFIRMATION_MS) return
    const present = new Set(listed.map(vm => vm.id))
    for (const vm of listed) this.#setVm(vm.id, { ...this.#vms.get(vm.id), ...vm, missingSince: undefined })
    for (const vm of this.#vms.values()) {
      if (present.has(vm.id)) continue
      if (this.placedOn(vm.id).size === 0) this.#setVm(vm.id, undefined)
      else if (vm.missingSince === undefined) this.#setVm(vm.id, copyWith(vm, { missingSince: now, session: undefined }))
    }
    this.#trackUnlisted(present, now)
  }

  /** VMs with placed tasks that no VM list has contained since this owner took over, with the time of the first such list. */
  get unlistedSince (): ReadonlyMap<VmId, Instant> {
    return this.#unlistedSince
  }

  /** Restarts the time after which a missing VM counts as lost: while its worker responds, its tasks may still run. */
  recordContact (id: VmId, now: Instant): void {
    const vm = this.#vms.get(id)
    if (vm?.missingSince !== undefined) this.#setVm(id, copyWith(vm, { missingSince: now }))
  }

  /** Changes fields of a VM. */
  updateVm (id: VmId, changes: Partial<Vm>): void {
    const vm = this.#vms.get(id)
    if (vm !== undefined) this.#setVm(id, copyWith(vm, changes))
  }

  #setVm (id: VmId, vm: Vm | undefined): void {
    if (vm === undefined) this.#vms.delete(id)
    else this.#vms.set(id, vm)
    this.#watcher?.vmChanged(id, vm)
  }

  #trackFinal (id: TaskId, task: Task | undefined, now: Instant): void {
    if (task === undefined || !isFinal(task)) this.#finalSince.delete(id)
    else if (!this.#finalSince.has(id)) this.#finalSince.set(id, now)
  }

  // The journal contains placements on VMs that were on the list only during an earlier owner's term.
  #trackUnlisted (present: ReadonlySet<VmId>, now: Instant): void {
    for (const [vm, tasks] of this.#placed) {
      if (tasks.size === 0) this.#placed.delete(vm)
      const isKnown = tasks.size === 0 || present.has(vm) || this.#vms.has(vm)
      if (isKnown) this.#unlistedSince.delete(vm)
      else if (!this.#unlistedSince.has(vm)) this.#unlistedSince.set(vm, now)
    }
  }

  #assertFits (task: Task, vmId: VmId): void {
    const vm = this.#vms.get(vmId)
    // The VM list is not known yet while the journal is replayed; the worker checks again when it starts a task.
    if (vm === undefined) return
    assertInvariant(fitsWithin(task.spec.resources, this.freeOn(vm)), 'vm-never-overcommitted', `task ${task.spec.id} does not fit on VM ${vmId}`)
  }

  #release (task: Task | undefined): void {
    if (task?.placement === undefined) return
    const { vm } = task.placement
    this.#committed.set(vm, subtractResources(this.committedOn(vm), task.spec.resources))
    this.#placed.get(vm)?.delete(task.spec.id)
  }

  #commit (task: Task | undefined): void {
    if (task?.placement === undefined) return
    const { vm } = task.placement
    this.#committed.set(vm, addResources(this.committedOn(vm), task.spec.resources))
    const placed = this.#placed.get(vm) ?? new Set<TaskId>()
    placed.add(task.spec.id)
    this.#placed.set(vm, placed)
  }
}

const EMPTY_TASKS: ReadonlySet<TaskId> = new Set()
