/**
 * A cell's tasks and VMs, with what each VM has committed.
 */
import {
  addResources, assertPromise, fitsWithin, newWith, NO_RESOURCES, subtractResources,
  type Instant, type Resources, type TaskId, type VmId
} from '@auburnpin/common'
import { applyTransition, isFinal } from './applyTransition.ts'
import { DurableTasks, taskOf } from './DurableTasks.ts'
import type { StateWatcher } from './StateWatcher.ts'
import { EMPTY_LIST_MS } from '../constants.ts'
import type { ListedVm, Placement, Task, Transition, Vm } from './types.ts'

/** State of one cell in memory. Tasks change by transitions alone. */
export class CellState {
  readonly #tasks = new Map<TaskId, Task>()
  readonly #durable = new DurableTasks(this.#tasks)
  readonly #waiting = new Set<TaskId>()
  readonly #vms = new Map<VmId, Vm>()
  readonly #committed = new Map<VmId, Resources>()
  readonly #placed = new Map<VmId, Set<TaskId>>()
  readonly #unlisted = new Map<VmId, Instant>()
  readonly #finals = new Map<TaskId, Instant>()
  #emptySince: Instant | undefined
  #watcher: StateWatcher | undefined

  /** Tells `watcher` of every later change. */
  watch (watcher: StateWatcher): void {
    this.#watcher = watcher
  }

  get tasks (): ReadonlyMap<TaskId, Task> {
    return this.#tasks
  }

  /** Tasks as the journal has them; only these may be told to anyone. */
  get durable (): DurableTasks {
    return this.#durable
  }

  /** Tasks that are queued and may be placed. */
  get waiting (): ReadonlySet<TaskId> {
    return this.#waiting
  }

  get vms (): ReadonlyMap<VmId, Vm> {
    return this.#vms
  }

  /** Declared sizes of everything on the VM that has not surely ended. */
  committedOn (vm: VmId): Resources {
    return this.#committed.get(vm) ?? NO_RESOURCES
  }

  /** What the VM has left. */
  freeOn (vm: Vm): Resources {
    return subtractResources(vm.resources, this.committedOn(vm.id))
  }

  /** Tasks whose present attempt is on the VM. */
  placedOn (vm: VmId): ReadonlySet<TaskId> {
    return this.#placed.get(vm) ?? EMPTY_TASKS
  }

  /** Applies one transition, after checking that it commits no VM beyond its resources. */
  apply (transition: Transition, now: Instant): void {
    const id = taskOf(transition)
    const before = this.#tasks.get(id)
    if (transition.kind === 'assigned' && before !== undefined) this.#assertRoom(before, transition.vm)
    const after = applyTransition(before, transition, now)
    this.#durable.hold(id, before)
    this.#release(before)
    this.#commit(after)
    if (after === undefined) this.#tasks.delete(id)
    else this.#tasks.set(id, after)
    if (after?.state === 'queued') this.#waiting.add(id)
    else this.#waiting.delete(id)
    this.#noteFinal(id, after, now)
    this.#watcher?.taskChanged(before, after)
  }

  /** Finished, failed and cancelled tasks, oldest first, with the time since which this owner knows them so. */
  get finals (): ReadonlyMap<TaskId, Instant> {
    return this.#finals
  }

  /** Puts a task in as a snapshot has it. */
  load (task: Task, now: Instant): void {
    this.#commit(task)
    this.#tasks.set(task.spec.id, task)
    if (task.state === 'queued') this.#waiting.add(task.spec.id)
    this.#noteFinal(task.spec.id, task, now)
    this.#watcher?.taskChanged(undefined, task)
  }

  /** Notes what a worker tells of a running attempt; nothing of it must last. */
  observePlacement (id: TaskId, changes: Partial<Placement>): void {
    const task = this.#tasks.get(id)
    if (task?.placement === undefined) return
    const placement = newWith(task.placement, changes)
    const state = placement.isRunning && task.state === 'starting' ? 'running' : task.state
    this.#tasks.set(id, newWith(task, { placement, state }))
  }

  /**
   * Takes in the VM list: new VMs come, missing ones are marked, unused missing ones go. An empty list is
   * not believed until it has stayed empty for a while.
   */
  listVms (listed: readonly ListedVm[], now: Instant): void {
    if (listed.length > 0) this.#emptySince = undefined
    else this.#emptySince ??= now
    if (this.#emptySince !== undefined && now - this.#emptySince < EMPTY_LIST_MS) return
    const present = new Set(listed.map(vm => vm.id))
    for (const vm of listed) this.#setVm(vm.id, { ...this.#vms.get(vm.id), ...vm, missingSince: undefined })
    for (const vm of this.#vms.values()) {
      if (present.has(vm.id)) continue
      if (this.placedOn(vm.id).size === 0) this.#setVm(vm.id, undefined)
      else if (vm.missingSince === undefined) this.#setVm(vm.id, newWith(vm, { missingSince: now, session: undefined }))
    }
    this.#noteUnlisted(present, now)
  }

  /** VMs with placed tasks that are on no list since this owner took over, with the time of the first such list. */
  get unlisted (): ReadonlyMap<VmId, Instant> {
    return this.#unlisted
  }

  /** A worker that still speaks is not gone, whatever the VM list says. */
  noteContact (id: VmId, now: Instant): void {
    const vm = this.#vms.get(id)
    if (vm?.missingSince !== undefined) this.#setVm(id, newWith(vm, { missingSince: now }))
  }

  /** Changes what is known of a VM. */
  observeVm (id: VmId, changes: Partial<Vm>): void {
    const vm = this.#vms.get(id)
    if (vm !== undefined) this.#setVm(id, newWith(vm, changes))
  }

  #setVm (id: VmId, vm: Vm | undefined): void {
    if (vm === undefined) this.#vms.delete(id)
    else this.#vms.set(id, vm)
    this.#watcher?.vmChanged(id, vm)
  }

  #noteFinal (id: TaskId, task: Task | undefined, now: Instant): void {
    if (task === undefined || !isFinal(task)) this.#finals.delete(id)
    else if (!this.#finals.has(id)) this.#finals.set(id, now)
  }

  // The journal names VMs that were listed for a former owner.
  #noteUnlisted (present: ReadonlySet<VmId>, now: Instant): void {
    for (const [vm, tasks] of this.#placed) {
      if (tasks.size === 0) this.#placed.delete(vm)
      const isKnown = tasks.size === 0 || present.has(vm) || this.#vms.has(vm)
      if (isKnown) this.#unlisted.delete(vm)
      else if (!this.#unlisted.has(vm)) this.#unlisted.set(vm, now)
    }
  }

  #assertRoom (task: Task, vmId: VmId): void {
    const vm = this.#vms.get(vmId)
    // While a journal is replayed the VM list is not known yet; the worker checks again at the start.
    if (vm === undefined) return
    assertPromise(fitsWithin(task.spec.resources, this.freeOn(vm)), 'vm-never-overcommitted', `task ${task.spec.id} does not fit on VM ${vmId}`)
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
