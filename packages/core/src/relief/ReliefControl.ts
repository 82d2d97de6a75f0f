/**
 * Throttles, and if that does not do, evicts the batch work that makes a service suffer.
 */
import type { Instant, ServiceName, TaskId, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import { stopAction } from '../cell/reconcileReport.ts'
import type { CellAction, Placement, Task, Transition, Vm } from '../cell/types.ts'
import { CALM_BELOW_TARGET, EVICTION_PAUSE_MS, MAX_EVICTIONS_OF_TASK, MIN_EASE_SHARE, MIN_THROTTLE_SHARE, TARGET_BELOW_LIMIT } from '../constants.ts'
import type { Expectation, ServiceLoads } from '../interference/ServiceLoads.ts'
import { isEvictable, tasksOn } from '../placement/Rooms.ts'
import type { VmChooser } from '../placement/VmChooser.ts'
import type { Relief } from '../policy/Policy.ts'
import type { EvictionBudget } from './EvictionBudget.ts'
import { VmWatch } from './VmWatch.ts'

/** What relief may do. */
export type ReliefSettings = Readonly<{
  throttles: boolean
  evicts: boolean
  waitsOutLag: boolean
  /** Ratio of answer time to objective up to which batch work is put beside a service. */
  tailLimit: number
}>

type Culprit = Readonly<{ task: Task, placement: Placement, harmPerCore: number }>

/** Decides VM by VM, from fresh samples alone. */
export class ReliefControl {
  readonly #settings: ReliefSettings
  #targetRatio: number
  readonly #loads: ServiceLoads
  readonly #chooser: VmChooser
  readonly #budget: EvictionBudget
  readonly #watches = new Map<VmId, VmWatch>()
  readonly #fresh = new Set<VmId>()
  readonly #greeted = new Set<VmId>()
  readonly #throttledFor = new Map<TaskId, ServiceName>()

  constructor (settings: ReliefSettings, loads: ServiceLoads, chooser: VmChooser, budget: EvictionBudget) {
    this.#settings = settings
    this.#targetRatio = settings.tailLimit - TARGET_BELOW_LIMIT
    this.#loads = loads
    this.#chooser = chooser
    this.#budget = budget
  }

  /** Sets the ratio that relief aims a little below. */
  configure (tailLimit: number): void {
    this.#targetRatio = tailLimit - TARGET_BELOW_LIMIT
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
    this.#greeted.delete(vm)
  }

  /** Acts on the VMs that have new samples. */
  relieve (state: CellState, now: Instant): Relief {
    const transitions: Transition[] = []
    const actions: CellAction[] = this.#liftInherited(state)
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

  // A former owner's throttles are not in the journal. They are lifted, for they would last for good.
  #liftInherited (state: CellState): CellAction[] {
    const actions: CellAction[] = []
    if (this.#greeted.size === state.vms.size) return actions
    for (const vm of state.vms.values()) {
      if (vm.session === undefined || this.#greeted.has(vm.id)) continue
      this.#greeted.add(vm.id)
      for (const task of tasksOn(state, vm.id)) {
        if (isEvictable(task) && task.placement !== undefined) actions.push(this.#setShare(state, vm, task, task.placement, 1))
      }
    }
    return actions
  }

  #relieveVm (state: CellState, vm: Vm, watch: VmWatch, now: Instant): Relief {
    const { worst } = watch
    const expected = this.#loads.expectOn(state, vm.id).find(({ service }) => service === worst)
    if (expected === undefined) return NO_RELIEF
    const verdict = watch.verdictFor(this.#targetRatio - CALM_BELOW_TARGET, expected.ratio)
    if (verdict === 'undecided') return NO_RELIEF
    if (verdict === 'calm') return this.#ease(state, vm, watch, expected, now)
    const culprits = this.#culpritsOn(state, vm.id, expected)
    return this.#throttle(state, vm, watch, culprits, expected, now) ?? this.#evict(state, vm, watch, culprits, expected, now) ?? NO_RELIEF
  }

  #culpritsOn (state: CellState, vm: VmId, expected: Expectation): Culprit[] {
    const culprits: Culprit[] = []
    for (const task of tasksOn(state, vm)) {
      if (!isEvictable(task) || task.placement === undefined) continue
      const harmPerCore = this.#loads.harmPerCore(task, expected)
      if (harmPerCore > 0) culprits.push({ task, placement: task.placement, harmPerCore })
    }
    return culprits
  }

  // The most harmful cores go first, so that the least work is held up for the same relief.
  #throttle (state: CellState, vm: Vm, watch: VmWatch, culprits: readonly Culprit[], { service }: Expectation, now: Instant): Relief | undefined {
    if (!this.#settings.throttles) return undefined
    const actions: CellAction[] = []
    let excess = watch.meanRatio - this.#targetRatio
    for (const { task, placement, harmPerCore } of sortedByHarm(culprits)) {
      if (excess <= 0) break
      const before = this.#loads.coresOf(task)
      const least = MIN_THROTTLE_SHARE * this.#loads.unthrottledCoresOf(task)
      const after = Math.max(least, before - excess / harmPerCore)
      if (after >= before - LEAST_CORES) continue
      excess -= (before - after) * harmPerCore
      actions.push(this.#setShare(state, vm, task, placement, after / task.spec.resources.processors))
      this.#throttledFor.set(task.spec.id, service)
    }
    if (actions.length === 0) return undefined
    watch.noteRelief(now)
    return { transitions: [], actions }
  }

  // Each eviction that a task has had makes it less likely to be taken again.
  #evict (state: CellState, vm: Vm, watch: VmWatch, culprits: readonly Culprit[], { service }: Expectation, now: Instant): Relief | undefined {
    if (!this.#settings.evicts || now < watch.pausedUntil) return undefined
    const rank = ({ task, harmPerCore }: Culprit): number => this.#loads.coresOf(task) * harmPerCore / (1 + task.evictions)
    for (const { task, placement } of [...culprits].sort((left, right) => rank(right) - rank(left))) {
      if (task.evictions >= MAX_EVICTIONS_OF_TASK) continue
      if (!this.#chooser.hasBetterPlace(state, task, vm.id)) continue
      if (!this.#budget.take(now)) return undefined
      watch.noteRelief(now)
      if (this.#settings.waitsOutLag) watch.pausedUntil = now + EVICTION_PAUSE_MS
      const reason = { kind: 'evicted-for-service', service, vm: vm.id } as const
      return {
        transitions: [{ kind: 'stopping', task: task.spec.id, attempt: task.attempt, reason }],
        actions: [stopAction(vm, task, placement)]
      }
    }
    return undefined
  }

  // Gives back what the service is expected to bear, the least harmful cores first.
  #ease (state: CellState, vm: Vm, watch: VmWatch, expected: Expectation, now: Instant): Relief {
    const throttled = tasksOn(state, vm.id).filter(task => isEvictable(task) && (task.placement?.throttle ?? 1) < 1)
    const actions: CellAction[] = []
    let room = this.#targetRatio - watch.meanRatio
    throttled.sort((left, right) => this.#loads.harmPerCore(left, expected) - this.#loads.harmPerCore(right, expected))
    for (const task of throttled) {
      const harmPerCore = this.#loads.harmPerCore(task, expected)
      const before = this.#loads.coresOf(task)
      const whole = this.#loads.unthrottledCoresOf(task)
      const after = harmPerCore === 0 ? whole : Math.min(whole, before + room / harmPerCore)
      if (room <= 0 || after - before < MIN_EASE_SHARE * whole) continue
      room -= (after - before) * harmPerCore
      const share = after >= whole - LEAST_CORES ? 1 : after / task.spec.resources.processors
      if (share === 1) this.#throttledFor.delete(task.spec.id)
      actions.push(this.#setShare(state, vm, task, task.placement as Placement, share))
    }
    if (actions.length > 0) watch.noteEasing(now)
    return { transitions: [], actions }
  }

  #setShare (state: CellState, vm: Vm, task: Task, placement: Placement, share: number): CellAction {
    const { id } = task.spec
    state.observePlacement(id, { throttle: share })
    this.#loads.touch(vm.id)
    return { kind: 'throttle', vm: vm.id, address: vm.address, task: id, attempt: task.attempt, session: placement.session, share }
  }
}

const NO_RELIEF: Relief = { transitions: [], actions: [] }

// Smaller differences in cores are rounding.
const LEAST_CORES = 0.01

const sortedByHarm = (culprits: readonly Culprit[]): Culprit[] =>
  [...culprits].sort((left, right) => right.harmPerCore - left.harmPerCore)
