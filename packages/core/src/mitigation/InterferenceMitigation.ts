/**
 * Throttles, and if that is not enough evicts, the batch tasks that slow a service down.
 */
import type { Instant, ServiceName, TaskId, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import { stopAction } from '../cell/reconcileReport.ts'
import type { CellAction, Placement, Task, Transition, Vm } from '../cell/types.ts'
import { EVICTION_PAUSE_MS, MAX_EVICTIONS_OF_TASK, MIN_RELAX_SHARE, MIN_THROTTLE_SHARE, RELAX_BELOW_TARGET, TARGET_BELOW_LIMIT } from '../constants.ts'
import type { Prediction, ServiceLoads } from '../interference/ServiceLoads.ts'
import { isEvictable, tasksOn } from '../placement/VmCapacity.ts'
import type { VmSelector } from '../placement/VmSelector.ts'
import type { PolicyDecision } from '../policy/Policy.ts'
import type { EvictionBudget } from './EvictionBudget.ts'
import { LatencyMonitor } from './LatencyMonitor.ts'

/** Which means may be used, and at which latency. */
export type MitigationSettings = Readonly<{
  throttles: boolean
  evicts: boolean
  /** Whether samples are ignored until an action has taken effect, and evictions on one VM are spaced. */
  awaitsEffect: boolean
  /** Predicted latency ratio of a service (99th percentile over objective) up to which batch tasks are placed beside it. */
  tailLimit: number
}>

/** A batch task that slows a service down. */
type Antagonist = Readonly<{ task: Task, placement: Placement, interferencePerCore: number }>

/** Decides for each VM on its own, from samples measured after the last action there. */
export class InterferenceMitigation {
  readonly #settings: MitigationSettings
  #targetRatio: number
  readonly #loads: ServiceLoads
  readonly #selector: VmSelector
  readonly #budget: EvictionBudget
  readonly #monitors = new Map<VmId, LatencyMonitor>()
  readonly #vmsWithNewSamples = new Set<VmId>()
  readonly #resetVms = new Set<VmId>()
  readonly #throttledFor = new Map<TaskId, ServiceName>()

  constructor (settings: MitigationSettings, loads: ServiceLoads, selector: VmSelector, budget: EvictionBudget) {
    this.#settings = settings
    this.#targetRatio = settings.tailLimit - TARGET_BELOW_LIMIT
    this.#loads = loads
    this.#selector = selector
    this.#budget = budget
  }

  /** Sets the latency ratio up to which batch tasks are placed; throttling aims slightly below it. */
  configure (tailLimit: number): void {
    this.#targetRatio = tailLimit - TARGET_BELOW_LIMIT
  }

  /** Records one sample: the service with the highest latency ratio on the VM. */
  recordSample (vm: VmId, service: ServiceName, ratio: number, measuredAt: Instant): void {
    const monitor = this.#monitors.get(vm) ?? new LatencyMonitor(this.#settings.awaitsEffect)
    this.#monitors.set(vm, monitor)
    monitor.recordSample(service, ratio, measuredAt)
    this.#vmsWithNewSamples.add(vm)
  }

  /** The service that the throttling of a task protects. */
  throttledFor (task: TaskId): ServiceName | undefined {
    return this.#throttledFor.get(task)
  }

  /** Removes a task whose attempt has ended. */
  forget (task: TaskId): void {
    this.#throttledFor.delete(task)
  }

  /** Removes a VM that is no longer in the state. */
  delete (vm: VmId): void {
    this.#monitors.delete(vm)
    this.#vmsWithNewSamples.delete(vm)
    this.#resetVms.delete(vm)
  }

  /** Acts on the VMs that have new samples. */
  mitigate (state: CellState, now: Instant): PolicyDecision {
    const transitions: Transition[] = []
    const actions: CellAction[] = this.#resetInheritedThrottles(state)
    for (const id of this.#vmsWithNewSamples) {
      const vm = state.vms.get(id)
      const monitor = this.#monitors.get(id)
      if (vm?.session === undefined || monitor === undefined) continue
      const decision = this.#mitigateOn(state, vm, monitor, now)
      transitions.push(...decision.transitions)
      actions.push(...decision.actions)
    }
    this.#vmsWithNewSamples.clear()
    return { transitions, actions }
  }

  // Throttles are not journalled, so a new owner resets those of its predecessor, which would otherwise stay in
  // place for good.
  #resetInheritedThrottles (state: CellState): CellAction[] {
    const actions: CellAction[] = []
    if (this.#resetVms.size === state.vms.size) return actions
    for (const vm of state.vms.values()) {
      if (vm.session === undefined || this.#resetVms.has(vm.id)) continue
      this.#resetVms.add(vm.id)
      for (const task of tasksOn(state, vm.id)) {
        if (isEvictable(task) && task.placement !== undefined) actions.push(this.#setShare(state, vm, task, task.placement, 1))
      }
    }
    return actions
  }

  #mitigateOn (state: CellState, vm: Vm, monitor: LatencyMonitor, now: Instant): PolicyDecision {
    const { slowestService } = monitor
    const prediction = this.#loads.predictOn(state, vm.id).find(({ service }) => service === slowestService)
    if (prediction === undefined) return NO_DECISION
    const assessment = monitor.assess(this.#targetRatio - RELAX_BELOW_TARGET, prediction.ratio)
    if (assessment === 'inconclusive') return NO_DECISION
    if (assessment === 'healthy') return this.#relax(state, vm, monitor, prediction, now)
    const antagonists = this.#antagonistsOn(state, vm.id, prediction)
    return this.#throttle(state, vm, monitor, antagonists, prediction, now) ?? this.#evict(state, vm, monitor, antagonists, prediction, now) ?? NO_DECISION
  }

  #antagonistsOn (state: CellState, vm: VmId, prediction: Prediction): Antagonist[] {
    const antagonists: Antagonist[] = []
    for (const task of tasksOn(state, vm)) {
      if (!isEvictable(task) || task.placement === undefined) continue
      const interferencePerCore = this.#loads.interferencePerCore(task, prediction)
      if (interferencePerCore > 0) antagonists.push({ task, placement: task.placement, interferencePerCore })
    }
    return antagonists
  }

  // Cores with the most interference go first, so that the fewest cores are taken away.
  #throttle (state: CellState, vm: Vm, monitor: LatencyMonitor, antagonists: readonly Antagonist[], { service }: Prediction, now: Instant): PolicyDecision | undefined {
    if (!this.#settings.throttles) return undefined
    const actions: CellAction[] = []
    let excess = monitor.meanRatio - this.#targetRatio
    for (const { task, placement, interferencePerCore } of sortedByInterference(antagonists)) {
      if (excess <= 0) break
      const before = this.#loads.coresOf(task)
      const least = MIN_THROTTLE_SHARE * this.#loads.unthrottledCoresOf(task)
      const after = Math.max(least, before - excess / interferencePerCore)
      if (after >= before - MIN_CORE_CHANGE) continue
      excess -= (before - after) * interferencePerCore
      actions.push(this.#setShare(state, vm, task, placement, after / task.spec.resources.processors))
      this.#throttledFor.set(task.spec.id, service)
    }
    if (actions.length === 0) return undefined
    monitor.recordMitigation(now)
    return { transitions: [], actions }
  }

  // Each earlier eviction of a task lowers its rank.
  #evict (state: CellState, vm: Vm, monitor: LatencyMonitor, antagonists: readonly Antagonist[], { service }: Prediction, now: Instant): PolicyDecision | undefined {
    if (!this.#settings.evicts || now < monitor.evictionPausedUntil) return undefined
    const rank = ({ task, interferencePerCore }: Antagonist): number => this.#loads.coresOf(task) * interferencePerCore / (1 + task.evictions)
    for (const { task, placement } of [...antagonists].sort((left, right) => rank(right) - rank(left))) {
      if (task.evictions >= MAX_EVICTIONS_OF_TASK) continue
      if (!this.#selector.hasAlternative(state, task, vm.id)) continue
      if (!this.#budget.take(now)) return undefined
      monitor.recordMitigation(now)
      if (this.#settings.awaitsEffect) monitor.evictionPausedUntil = now + EVICTION_PAUSE_MS
      const reason = { kind: 'evicted-for-service', service, vm: vm.id } as const
      return {
        transitions: [{ kind: 'stopping', task: task.spec.id, attempt: task.attempt, reason }],
        actions: [stopAction(vm, task, placement)]
      }
    }
    return undefined
  }

  // Returns as many cores as the service is predicted to tolerate, those with the least interference first.
  #relax (state: CellState, vm: Vm, monitor: LatencyMonitor, prediction: Prediction, now: Instant): PolicyDecision {
    const throttled = tasksOn(state, vm.id).filter(task => isEvictable(task) && (task.placement?.throttle ?? 1) < 1)
    const actions: CellAction[] = []
    let headroom = this.#targetRatio - monitor.meanRatio
    throttled.sort((left, right) => this.#loads.interferencePerCore(left, prediction) - this.#loads.interferencePerCore(right, prediction))
    for (const task of throttled) {
      const interferencePerCore = this.#loads.interferencePerCore(task, prediction)
      const before = this.#loads.coresOf(task)
      const unthrottled = this.#loads.unthrottledCoresOf(task)
      const after = interferencePerCore === 0 ? unthrottled : Math.min(unthrottled, before + headroom / interferencePerCore)
      if (headroom <= 0 || after - before < MIN_RELAX_SHARE * unthrottled) continue
      headroom -= (after - before) * interferencePerCore
      const share = after >= unthrottled - MIN_CORE_CHANGE ? 1 : after / task.spec.resources.processors
      if (share === 1) this.#throttledFor.delete(task.spec.id)
      actions.push(this.#setShare(state, vm, task, task.placement as Placement, share))
    }
    if (actions.length > 0) monitor.recordRelaxation(now)
    return { transitions: [], actions }
  }

  #setShare (state: CellState, vm: Vm, task: Task, placement: Placement, share: number): CellAction {
    const { id } = task.spec
    state.updatePlacement(id, { throttle: share })
    this.#loads.invalidate(vm.id)
    return { kind: 'throttle', vm: vm.id, address: vm.address, task: id, attempt: task.attempt, session: placement.session, share }
  }
}

const NO_DECISION: PolicyDecision = { transitions: [], actions: [] }

// Smaller differences in cores are rounding errors.
const MIN_CORE_CHANGE = 0.01

const sortedByInterference = (antagonists: readonly Antagonist[]): Antagonist[] =>
  [...antagonists].sort((left, right) => right.interferencePerCore - left.interferencePerCore)
