/**
 * The policy's indexes over a cell's state, updated on each change.
 */
import type { Instant, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import { StateWatcher } from '../cell/StateWatcher.ts'
import type { Task, Vm } from '../cell/types.ts'
import { TeamUsage } from '../fairness/TeamUsage.ts'
import { WorkerHealth } from '../health/WorkerHealth.ts'
import type { ServiceLoads } from '../interference/ServiceLoads.ts'
import { ReplicaSpread } from '../placement/ReplicaSpread.ts'
import { VmCapacity } from '../placement/VmCapacity.ts'
import type { InterferenceMitigation } from '../mitigation/InterferenceMitigation.ts'
import { UnrunnableTasks } from './UnrunnableTasks.ts'
import { WaitingTasks } from './WaitingTasks.ts'

/** An update takes time logarithmic in the number of VMs and of waiting tasks. */
export class StateIndexes extends StateWatcher {
  readonly queue = new WaitingTasks()
  readonly usage = new TeamUsage()
  readonly spread = new ReplicaSpread()
  readonly health = new WorkerHealth()
  readonly capacity = new VmCapacity(this.health)
  readonly unrunnable = new UnrunnableTasks()
  readonly #loads: ServiceLoads
  #mitigation: InterferenceMitigation | undefined
  #hasChanged = false

  /** Time of the latest event. */
  now = 0 as Instant

  constructor (loads: ServiceLoads) {
    super()
    this.#loads = loads
  }

  attachTo (state: CellState, mitigation: InterferenceMitigation): void {
    this.#mitigation = mitigation
    state.watch(this)
  }

  /** Whether anything has changed since the last call; clears the flag. */
  consumeChanged (): boolean {
    const hasChanged = this.capacity.consumeChanged() || this.#hasChanged
    this.#hasChanged = false
    return hasChanged
  }

  taskChanged (before: Task | undefined, after: Task | undefined): void {
    this.#hasChanged = true
    this.queue.change(before, after, this.now)
    this.usage.change(before, after)
    this.spread.change(before, after)
    this.unrunnable.change(before, after)
    this.#invalidateVmOf(before)
    this.#invalidateVmOf(after)
    if (before === undefined || before.placement === undefined) return
    if (after?.placement === undefined) this.#mitigation?.forget(before.spec.id)
    if (after !== undefined) this.health.observe(before, after, this.capacity.total.size, this.now)
  }

  vmChanged (id: VmId, vm: Vm | undefined): void {
    if (vm === undefined) {
      this.health.delete(id)
      this.#loads.delete(id)
      this.#mitigation?.delete(id)
    }
    if (vm !== undefined) this.spread.setRack(id, vm.rack)
    this.capacity.invalidate(id)
  }

  #invalidateVmOf (task: Task | undefined): void {
    const vm = task?.placement?.vm
    if (vm === undefined) return
    this.capacity.invalidate(vm)
    this.#loads.invalidate(vm)
  }
}
