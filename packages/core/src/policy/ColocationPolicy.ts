/**
 * The scheduling policy: latency-critical services and batch work share VMs.
 */
import { brand, type Attempt, type Instant, type Random, type Resources, type ServiceName, type TaskId, type TeamName, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, TaskReason, TaskReading, Transition, UsageReading } from '../cell/types.ts'
import type { Configuration } from '../configuration/types.ts'
import { MAX_RESERVATIONS_PER_PASS, MAX_IDLE_PASS_MS, MAX_STARTS_PER_PASS, MAX_AVOIDANCE_MS, MAX_TRIAL_WAIT_MS } from '../constants.ts'
import type { InterferenceModel, Neighbour } from '../interference/InterferenceModel.ts'
import { workloadKindOf } from '../interference/workloadKindOf.ts'
import { UsageEstimates } from '../interference/UsageEstimates.ts'
import { ServiceLoads } from '../interference/ServiceLoads.ts'
import { VmSelector, type PlacementRule } from '../placement/VmSelector.ts'
import { EvictionBudget } from '../mitigation/EvictionBudget.ts'
import { InterferenceMitigation, type MitigationSettings } from '../mitigation/InterferenceMitigation.ts'
import { evictForPriority } from './evictForPriority.ts'
import { findTaskReason } from './findTaskReason.ts'
import { Policy, type PolicyDecision } from './Policy.ts'
import { placeByFairShare } from './placeByFairShare.ts'
import { StateIndexes } from './StateIndexes.ts'

/** Settings of one cell's policy; limits in the configuration override `tailLimit` and `evictionsPerMinute`. */
export type ColocationSettings = MitigationSettings & Readonly<{
  rule: PlacementRule
  /** Most evictions per minute that protect services, over the whole cell. */
  evictionsPerMinute: number
  /** Share of each team's quota that applies in this cell, 0 to 1. */
  quotaShare: number
}>

/** Default settings. */
export const DEFAULT_COLOCATION: ColocationSettings = {
  rule: 'interference', throttles: true, evicts: true, awaitsEffect: true, tailLimit: 0.9, evictionsPerMinute: 6, quotaShare: 1
}

/** Name of the configured limit that overrides `tailLimit`. */
export const TAIL_LIMIT = 'tail-limit'
/** Name of the configured limit that overrides `evictionsPerMinute`. */
export const EVICTIONS_PER_MINUTE_LIMIT = 'evictions-per-minute'

/**
 * Places urgent tasks first, then replicas, watches, and batch tasks by fair share between teams. Batch tasks
 * are not placed beside services that they are predicted to slow down; where a service misses its latency
 * objective, they are throttled and, if that is not enough, evicted.
 *
 * @example
 * const policy = new ColocationPolicy(new LearntInterference(), random, DEFAULT_COLOCATION)
 */
export class ColocationPolicy extends Policy {
  readonly #model: InterferenceModel
  readonly #random: Random
  readonly #settings: ColocationSettings
  readonly #usage = new UsageEstimates()
  readonly #loads: ServiceLoads
  readonly #indexes: StateIndexes
  readonly #selector: VmSelector
  readonly #budget: EvictionBudget
  readonly #mitigation: InterferenceMitigation
  readonly #objectives = new Map<ServiceName, number>()
  #lastPassAt = -Infinity

  constructor (model: InterferenceModel, random: Random, settings: ColocationSettings) {
    super()
    this.#model = model
    this.#random = random
    this.#settings = settings
    this.#loads = new ServiceLoads(model, this.#usage)
    this.#indexes = new StateIndexes(this.#loads)
    const { capacity, spread } = this.#indexes
    this.#selector = new VmSelector(capacity, this.#loads, spread, random, settings)
    this.#budget = new EvictionBudget(settings.evictionsPerMinute)
    this.#mitigation = new InterferenceMitigation(settings, this.#loads, this.#selector, this.#budget)
  }

  override attach (state: CellState): void {
    this.#indexes.attachTo(state, this.#mitigation)
  }

  override configure ({ services, teams, limits }: Configuration): void {
    this.#objectives.clear()
    for (const [name, { value }] of Object.entries(services)) this.#objectives.set(brand<ServiceName>(name), value.objectiveMs)
    const quotas = new Map<TeamName, Resources>()
    for (const [name, { value }] of Object.entries(teams)) quotas.set(brand<TeamName>(name), scaled(value.quota, this.#settings.quotaShare))
    this.#indexes.usage.setQuotas(quotas)
    const { rule, tailLimit, evictionsPerMinute } = this.#settings
    const limit = limits[TAIL_LIMIT]?.value.value ?? tailLimit
    this.#selector.configure({ rule, tailLimit: limit })
    this.#mitigation.configure(limit)
    this.#budget.configure(limits[EVICTIONS_PER_MINUTE_LIMIT]?.value.value ?? evictionsPerMinute)
  }

  override explain (state: CellState, id: TaskId, now: Instant): TaskReason | undefined {
    const task = state.tasks.get(id)
    if (task === undefined) return undefined
    this.#indexes.capacity.refresh(state, now)
    return findTaskReason(state, task, { indexes: this.#indexes, selector: this.#selector, mitigation: this.#mitigation })
  }

  place (state: CellState, now: Instant): readonly Transition[] {
    const { health, capacity, unrunnable } = this.#indexes
    this.#indexes.now = now
    for (const vm of health.dueProbes(now)) capacity.invalidate(vm)
    capacity.refresh(state, now)
    const isIdle = !this.#indexes.consumeChanged() && now - this.#lastPassAt < MAX_IDLE_PASS_MS
    if (isIdle) return NO_TRANSITIONS
    this.#lastPassAt = now
    const transitions = unrunnable.reexamine(state, capacity.total)
    for (const transition of transitions) state.apply(transition, now)
    if (capacity.total.size > 0) this.#placeFromQueues(state, transitions, now)
    return transitions
  }

  observe (state: CellState, vm: VmId, readings: readonly UsageReading[], now: Instant): void {
    this.#indexes.now = now
    for (const reading of readings) this.#observeReading(state, vm, reading)
  }

  reclaim (state: CellState, now: Instant): PolicyDecision {
    const { queue, capacity } = this.#indexes
    this.#indexes.now = now
    capacity.refresh(state, now)
    const mitigated = this.#mitigation.mitigate(state, now)
    const waiting: Task[] = []
    for (const id of queue.firstPriorityTasks(MAX_RESERVATIONS_PER_PASS)) {
      const task = state.tasks.get(id) as Task
      if (this.#mayStart(task)) waiting.push(task)
    }
    this.#releaseReservations(state)
    capacity.refresh(state, now)
    const unplaceable = waiting.filter(({ spec }) => capacity.free.find(spec.resources, 1, 0).length === 0)
    const evicted = evictForPriority(state, capacity, unplaceable, this.#random, now)
    return { transitions: [...mitigated.transitions, ...evicted.transitions], actions: [...mitigated.actions, ...evicted.actions] }
  }

  // A reservation is obsolete once its task has been placed or withdrawn or has come over its quota, or its VM has no lease.
  #releaseReservations (state: CellState): void {
    const { capacity } = this.#indexes
    for (const { task, vm } of [...capacity.reservations]) {
      const isUsable = state.vms.get(vm)?.session !== undefined
      const reserving = state.tasks.get(task)
      if (reserving?.state !== 'queued' || !isUsable || !this.#mayStart(reserving)) capacity.release(task)
    }
  }

  #mayStart ({ spec: { kind, team, resources, isUrgent } }: Task): boolean {
    return kind !== 'batch' || this.#indexes.usage.isWithinQuota(team, resources, isUrgent)
  }

  #placeFromQueues (state: CellState, transitions: Transition[], now: Instant): void {
    const { queue, capacity, usage } = this.#indexes
    const tryPlace = (id: TaskId): boolean => {
      const transition = this.#placeTask(state, state.tasks.get(id) as Task, now)
      if (transition === undefined) return false
      state.apply(transition, now)
      transitions.push(transition)
      capacity.refresh(state, now)
      return true
    }
    for (const taskQueue of queue.priorityQueues) {
      const pass = taskQueue.startPass()
      while (transitions.length < MAX_STARTS_PER_PASS && pass.placeOne(tryPlace));
    }
    const shareOf = (team: TeamName): number => usage.dominantShare(team, capacity.cellTotal)
    placeByFairShare(queue.teamQueues, shareOf, tryPlace, MAX_STARTS_PER_PASS - transitions.length, now)
  }

  #placeTask (state: CellState, task: Task, now: Instant): Transition | undefined {
    const { health, queue, capacity } = this.#indexes
    const { spec } = task
    if (capacity.total.find(spec.resources, 1, 0).length === 0) {
      return { kind: 'unrunnable', task: spec.id, reason: { kind: 'too-large', largest: capacity.total.largest } }
    }
    const isDeclared = spec.kind !== 'batch'
    if (!this.#mayStart(task)) return undefined
    const waitedMs = now - (queue.waitingSince(spec) ?? now)
    const rules = { mustPlace: isDeclared || spec.isUrgent || waitedMs > MAX_AVOIDANCE_MS, isTrialShared: waitedMs > MAX_TRIAL_WAIT_MS }
    const { vm } = this.#selector.select(state, task, rules)
    if (vm?.session === undefined) return undefined
    capacity.release(spec.id)
    health.recordStart(vm.id)
    return { kind: 'assigned', task: spec.id, attempt: brand<Attempt>(task.attempt + 1), vm: vm.id, session: vm.session }
  }

  #observeReading (state: CellState, vm: VmId, { measuredAt, tasks }: UsageReading): void {
    const neighbours: Neighbour[] = []
    for (const { id, attempt, processors } of tasks) {
      const task = state.tasks.get(id)
      // The workload of a task that is no longer kept is unknown; learning from an incomplete list of
      // neighbours would attribute its interference to the others.
      if (task === undefined) return
      if (task.spec.kind === 'replica') continue
      neighbours.push({ kind: workloadKindOf(task.spec), cores: processors })
      if (task.attempt === attempt) this.#usage.learn(task.spec, processors, task.placement?.throttle ?? 1)
    }
    let worst: Readonly<{ service: ServiceName, ratio: number }> | undefined
    for (const reading of tasks) {
      const observed = this.#observeReplica(state, vm, reading, neighbours, measuredAt)
      if (observed !== undefined && (worst === undefined || observed.ratio > worst.ratio)) worst = observed
    }
    if (worst !== undefined) this.#mitigation.recordSample(vm, worst.service, worst.ratio, measuredAt)
  }

  #observeReplica (state: CellState, vm: VmId, reading: TaskReading, neighbours: readonly Neighbour[], measuredAt: Instant): Readonly<{ service: ServiceName, ratio: number }> | undefined {
    const spec = state.tasks.get(reading.id)?.spec
    const objectiveMs = spec?.service === undefined ? undefined : this.#objectives.get(spec.service)
    if (spec?.service === undefined || objectiveMs === undefined || reading.latencyP99Ms === undefined) return undefined
    const load = reading.processors / spec.resources.processors
    const ratio = reading.latencyP99Ms / objectiveMs
    this.#model.learn({ service: spec.service, load, ratio, neighbours, measuredAt })
    this.#loads.recordLoad(vm, spec.service, load, measuredAt)
    return { service: spec.service, ratio }
  }
}

const NO_TRANSITIONS: readonly Transition[] = []

const scaled = ({ processors, memoryMb, accelerators }: Resources, share: number): Resources => ({
  processors: processors * share, memoryMb: memoryMb * share, accelerators: accelerators * share
})
