/**
 * Everything that the policy keeps about a cell's state, current after each change.
 */
import type { Instant, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import { StateWatcher } from '../cell/StateWatcher.ts'
import type { Task, Vm } from '../cell/types.ts'
import { TeamUsage } from '../fairness/TeamUsage.ts'
import { WorkerHealth } from '../health/WorkerHealth.ts'
import type { ServiceLoads } from '../interference/ServiceLoads.ts'
import { ReplicaSpread } from '../placement/ReplicaSpread.ts'
import { Rooms } from '../placement/Rooms.ts'
import type { ReliefControl } from '../relief/ReliefControl.ts'
import { UnrunnableTasks } from './UnrunnableTasks.ts'
import { WaitingQueue } from './WaitingQueue.ts'

/** Each change of the state costs a logarithm of the VMs and of the waiting tasks. */
export class StateIndexes extends StateWatcher {
  readonly queue = new WaitingQueue()
  readonly usage = new TeamUsage()
  readonly spread = new ReplicaSpread()
  readonly health = new WorkerHealth()
  readonly rooms = new Rooms(this.health)
  readonly unrunnable = new UnrunnableTasks()
  readonly #loads: ServiceLoads
  #relief: ReliefControl | undefined
  #hasChanged = false

  /** When the latest event was taken in. */
  now = 0 as Instant

  constructor (loads: ServiceLoads) {
    super()
    this.#loads = loads
  }

  follow (state: CellState, relief: ReliefControl): void {
    this.#relief = relief
    state.watch(this)
  }

  /** Whether anything has changed since the last call. */
  takeChanged (): boolean {
    const hasChanged = this.rooms.takeChanged() || this.#hasChanged
    this.#hasChanged = false
    return hasChanged
  }

  taskChanged (before: Task | undefined, after: Task | undefined): void {
    this.#hasChanged = true
    this.queue.change(before, after, this.now)
    this.usage.change(before, after)
    this.spread.change(before, after)
    this.unrunnable.change(before, after)
    this.#touch(before)
    this.#touch(after)
    if (before === undefined || before.placement === undefined) return
    if (after?.placement === undefined) this.#relief?.forget(before.spec.id)
    if (after !== undefined) this.health.observe(before, after, this.rooms.whole.size, this.now)
  }

  vmChanged (id: VmId, vm: Vm | undefined): void {
    if (vm === undefined) {
      this.health.delete(id)
      this.#loads.delete(id)
      this.#relief?.delete(id)
    }
    if (vm !== undefined) this.spread.locate(id, vm.rack)
    this.rooms.touch(id)
  }

  #touch (task: Task | undefined): void {
    const vm = task?.placement?.vm
    if (vm === undefined) return
    this.rooms.touch(vm)
    this.#loads.touch(vm)
  }
}
