/**
 * Throttles, and if that does not do, evicts the batch work that makes a service suffer.
 */
import type { Instant, ServiceName, TaskId, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import { stopAction } from '../cell/reconcileReport.ts'
import type { CellAction, Placement, Task, Transition, Vm } from '../cell/types.ts'
import { EVICTION_PAUSE_MS, MAX_EVICTIONS_OF_TASK, MIN_THROTTLE_SHARE, RELIEF_TARGET_RATIO } from '../constants.ts'
import type { Expectation, ServiceLoads } from '../interference/ServiceLoads.ts'
import { isEvictable, tasksOn } from '../placement/Rooms.ts'
import type { VmChooser } from '../placement/VmChooser.ts'
import type { Relief } from '../policy/Policy.ts'
import type { EvictionBudget } from './EvictionBudget.ts'
import { VmWatch } from './VmWatch.ts'

/** What relief may do. */
export type ReliefSettings = Readonly<{ throttles: boolean, evicts: boolean, waitsOutLag: boolean }>

type Culprit = Readonly<{ task: Task, placement: Placement, harm: number }>

/** Decides VM by VM, from fresh samples alone. */
export class ReliefControl {
  readonly #settings: ReliefSettings
  readonly #loads: ServiceLoads
  readonly #chooser: VmChooser
  readonly #budget: EvictionBudget
  readonly #watches = new Map<VmId, VmWatch>()
  readonly #fresh = new Set<VmId>()
  readonly #throttledFor = new Map<TaskId, ServiceName>()

  constructor (settings: ReliefSettings, loads: ServiceLoads, chooser: VmChooser, budget: EvictionBudget) {
    this.#settings = settings
    this.#loads = loads
    this.#chooser = chooser
    this.#budget = budget
  }

  /** Takes in the ratio of the VM's worst service in one sample. */
  observe (vm: VmId, service: ServiceName, ratio: number, measuredAt: Instant): void {
    const watch = this.#watches.get(vm) ?? new VmWatch(this.#settings.waitsOutLag)
    this.#watches.set(vm, watch)
    watch.observe(service, ratio, measuredAt)
    this.#fresh.add(vm)
  }

  /** The service for whose sake a task is throttled. */
  throttledFor (task: TaskId): ServiceName | undefined {
    return this.#throttledFor.get(task)
  }

  /** Forgets a task whose attempt has ended. */
  forget (task: TaskId): void {
    this.#throttledFor.delete(task)
  }

  /** Forgets a VM that has gone. */
  delete (vm: VmId): void {
    this.#watches.delete(vm)
    this.#fresh.delete(vm)
  }

  /** Acts on the VMs that have new samples. */
  relieve (state: CellState, now: Instant): Relief {
    const transitions: Transition[] = []
    const actions: CellAction[] = []
    for (const id of this.#fresh) {
      const vm = state.vms.get(id)
      const watch = this.#watches.get(id)
      if (vm?.session === undefined || watch === undefined) continue
      const relief = this.#relieveVm(state, vm, watch, now)
      transitions.push(...relief.transitions)
      actions.push(...relief.actions)
    }
    this.#fresh.clear()
    return { transitions, actions }
  }

  #relieveVm (state: CellState, vm: Vm, watch: VmWatch, now: Instant): Relief {
    const { verdict, worst } = watch
    const expected = this.#loads.expectOn(state, vm.id).find(({ service }) => service === worst)
    if (verdict === 'undecided' || expected === undefined) return NO_RELIEF
    if (verdict === 'calm') return this.#ease(state, vm, watch, expected, now)
    const culprits = this.#culpritsOn(state, vm.id, expected)
    return this.#throttle(state, vm, watch, culprits, expected, now) ?? this.#evict(state, vm, watch, culprits, expected, now) ?? NO_RELIEF
  }

  // Most harmful first; each eviction that a task has had makes it less likely to be taken again.
  #culpritsOn (state: CellState, vm: VmId, expected: Expectation): Culprit[] {
    const culprits: Culprit[] = []
    for (const task of tasksOn(state, vm)) {
      if (!isEvictable(task) || task.placement === undefined) continue
      culprits.push({ task, placement: task.placement, harm: this.#loads.harmOf(task, expected) })
    }
    const rank = ({ harm, task }: Culprit): number => harm / (1 + task.evictions)
    return culprits.sort((left, right) => rank(right) - rank(left))
  }

  #throttle (state: CellState, vm: Vm, watch: VmWatch, culprits: readonly Culprit[], { service }: Expectation, now: Instant): Relief | undefined {
    if (!this.#settings.throttles) return undefined
    const actions: CellAction[] = []
    let excess = watch.worstRatio - RELIEF_TARGET_RATIO
    for (const { task, placement, harm } of culprits) {
      const before = placement.throttle ?? 1
      if (excess <= 0) break
      if (before <= MIN_THROTTLE_SHARE || harm <= 0) continue
      const share = Math.max(MIN_THROTTLE_SHARE, before - excess / harm)
      excess -= (before - share) * harm
      actions.push(this.#setShare(state, vm, task, placement, share))
      this.#throttledFor.set(task.spec.id, service)
    }
    if (actions.length === 0) return undefined
    watch.noteAct(now)
    watch.noteRelapse()
    return { transitions: [], actions }
  }

  #evict (state: CellState, vm: Vm, watch: VmWatch, culprits: readonly Culprit[], { service }: Expectation, now: Instant): Relief | undefined {
    if (!this.#settings.evicts || now < watch.pausedUntil) return undefined
    for (const { task, placement, harm } of culprits) {
      if (harm <= 0 || task.evictions >= MAX_EVICTIONS_OF_TASK) continue
      if (!this.#chooser.hasBetterPlace(state, task, vm.id)) continue
      if (!this.#budget.take(now)) return undefined
      watch.noteAct(now)
      if (this.#settings.waitsOutLag) watch.pausedUntil = now + EVICTION_PAUSE_MS
      const reason = { kind: 'evicted-for-service', service, vm: vm.id } as const
      return {
        transitions: [{ kind: 'stopping', task: task.spec.id, attempt: task.attempt, reason }],
        actions: [stopAction(vm, task, placement)]
      }
    }
    return undefined
  }

  // Gives back the share of the most throttled task, as far as the service is expected to bear it.
  #ease (state: CellState, vm: Vm, watch: VmWatch, expected: Expectation, now: Instant): Relief {
    const throttled = this.#culpritsOn(state, vm.id, expected).filter(({ placement }) => (placement.throttle ?? 1) < 1)
    throttled.sort((left, right) => (left.placement.throttle ?? 1) - (right.placement.throttle ?? 1))
    for (const { task, placement, harm } of throttled) {
      const before = placement.throttle ?? 1
      const share = Math.min(1, 2 * before)
      if (watch.worstRatio + (share - before) * harm > RELIEF_TARGET_RATIO) continue
      if (share === 1) this.#throttledFor.delete(task.spec.id)
      watch.noteAct(now)
      return { transitions: [], actions: [this.#setShare(state, vm, task, placement, share)] }
    }
    return NO_RELIEF
  }

  #setShare (state: CellState, vm: Vm, task: Task, placement: Placement, share: number): CellAction {
    const { id } = task.spec
    state.observePlacement(id, { throttle: share })
    this.#loads.touch(vm.id)
    return { kind: 'throttle', vm: vm.id, address: vm.address, task: id, attempt: task.attempt, session: placement.session, share }
  }
}

const NO_RELIEF: Relief = { transitions: [], actions: [] }
