/**
 * The one policy: latency-critical services and batch work on the same VMs.
 */
import { brand, type Attempt, type Instant, type Random, type Resources, type ServiceName, type TaskId, type TeamName, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, TaskReason, TaskReading, Transition, UsageReading } from '../cell/types.ts'
import type { Configuration } from '../configuration/types.ts'
import { MAX_CLEARINGS_PER_PASS, MAX_IDLE_PASS_MS, MAX_STARTS_PER_PASS, PATIENCE_MS } from '../constants.ts'
import type { InterferenceModel, Neighbour } from '../interference/InterferenceModel.ts'
import { kindOf } from '../interference/kindOf.ts'
import { LearntSizes } from '../interference/LearntSizes.ts'
import { ServiceLoads } from '../interference/ServiceLoads.ts'
import { VmChooser, type PlacementRule } from '../placement/VmChooser.ts'
import { EvictionBudget } from '../relief/EvictionBudget.ts'
import { ReliefControl, type ReliefSettings } from '../relief/ReliefControl.ts'
import { clearRoom } from './clearRoom.ts'
import { explainTask } from './explainTask.ts'
import { Policy, type Relief } from './Policy.ts'
import { serveTeams } from './serveTeams.ts'
import { StateIndexes } from './StateIndexes.ts'

/** How a cell is run; the limits of the configuration go before `tailLimit` and `evictionsPerMinute`. */
export type ColocationSettings = ReliefSettings & Readonly<{
  rule: PlacementRule
  /** Evictions for services' sake, over the whole cell. */
  evictionsPerMinute: number
  /** Share of each team's quota that belongs to this cell, 0 to 1. */
  quotaShare: number
}>

/** What an operator gets who sets nothing. */
export const DEFAULT_COLOCATION: ColocationSettings = {
  rule: 'interference', throttles: true, evicts: true, waitsOutLag: true, tailLimit: 0.9, evictionsPerMinute: 6, quotaShare: 1
}

/** Name of the limit that sets `tailLimit`. */
export const TAIL_LIMIT = 'tail-limit'
/** Name of the limit that sets `evictionsPerMinute`. */
export const EVICTIONS_PER_MINUTE_LIMIT = 'evictions-per-minute'

/**
 * Urgent work first, then replicas, watches, and batch work by fair share; batch work stays away from
 * services that it slows down, and is throttled and then evicted where one suffers.
 *
 * @example
 * const policy = new ColocationPolicy(new LearntInterference(), random, DEFAULT_COLOCATION)
 */
export class ColocationPolicy extends Policy {
  readonly #model: InterferenceModel
  readonly #random: Random
  readonly #settings: ColocationSettings
  readonly #sizes = new LearntSizes()
  readonly #loads: ServiceLoads
  readonly #indexes: StateIndexes
  readonly #chooser: VmChooser
  readonly #budget: EvictionBudget
  readonly #relief: ReliefControl
  readonly #objectives = new Map<ServiceName, number>()
  #lastPassAt = -Infinity

  constructor (model: InterferenceModel, random: Random, settings: ColocationSettings) {
    super()
    this.#model = model
    this.#random = random
    this.#settings = settings
    this.#loads = new ServiceLoads(model, this.#sizes)
    this.#indexes = new StateIndexes(this.#loads)
    const { rooms, spread } = this.#indexes
    this.#chooser = new VmChooser(rooms, this.#loads, spread, random, settings)
    this.#budget = new EvictionBudget(settings.evictionsPerMinute)
    this.#relief = new ReliefControl(settings, this.#loads, this.#chooser, this.#budget)
  }

  override attach (state: CellState): void {
    this.#indexes.follow(state, this.#relief)
  }

  override configure ({ services, teams, limits }: Configuration): void {
    this.#objectives.clear()
    for (const [name, { value }] of Object.entries(services)) this.#objectives.set(brand<ServiceName>(name), value.objectiveMs)
    const quotas = new Map<TeamName, Resources>()
    for (const [name, { value }] of Object.entries(teams)) quotas.set(brand<TeamName>(name), scaled(value.quota, this.#settings.quotaShare))
    this.#indexes.usage.setQuotas(quotas)
    const { rule, tailLimit, evictionsPerMinute } = this.#settings
    const limit = limits[TAIL_LIMIT]?.value.value ?? tailLimit
    this.#chooser.configure({ rule, tailLimit: limit })
    this.#relief.configure(limit)
    this.#budget.configure(limits[EVICTIONS_PER_MINUTE_LIMIT]?.value.value ?? evictionsPerMinute)
  }

  override explain (state: CellState, id: TaskId, now: Instant): TaskReason | undefined {
    const task = state.tasks.get(id)
    if (task === undefined) return undefined
    this.#indexes.rooms.refresh(state, now)
    return explainTask(state, task, { indexes: this.#indexes, chooser: this.#chooser, relief: this.#relief })
  }

  place (state: CellState, now: Instant): readonly Transition[] {
    const { health, rooms, unrunnable } = this.#indexes
    this.#indexes.now = now
    for (const vm of health.dueProbes(now)) rooms.touch(vm)
    rooms.refresh(state, now)
    const isIdle = !this.#indexes.takeChanged() && now - this.#lastPassAt < MAX_IDLE_PASS_MS
    if (isIdle) return NO_TRANSITIONS
    this.#lastPassAt = now
    const transitions = unrunnable.reexamine(state, rooms.whole)
    for (const transition of transitions) state.apply(transition, now)
    if (rooms.whole.size > 0) this.#serveLanes(state, transitions, now)
    return transitions
  }

  observe (state: CellState, vm: VmId, readings: readonly UsageReading[], now: Instant): void {
    this.#indexes.now = now
    for (const reading of readings) this.#observeReading(state, vm, reading)
  }

  relieve (state: CellState, now: Instant): Relief {
    const { queue, rooms, usage } = this.#indexes
    this.#indexes.now = now
    rooms.refresh(state, now)
    const relief = this.#relief.relieve(state, now)
    const waiting: Task[] = []
    for (const id of queue.firstPriority(MAX_CLEARINGS_PER_PASS)) {
      const task = state.tasks.get(id) as Task
      const { kind, team, resources } = task.spec
      if (kind !== 'batch' || usage.hasRoom(team, resources, true)) waiting.push(task)
    }
    this.#releaseReservations(state)
    rooms.refresh(state, now)
    const starved = waiting.filter(({ spec }) => rooms.free.find(spec.resources, 1, 0).length === 0)
    const cleared = clearRoom(state, rooms, starved, this.#random, now)
    return { transitions: [...relief.transitions, ...cleared.transitions], actions: [...relief.actions, ...cleared.actions] }
  }

  // A task that was placed elsewhere, or withdrawn, needs its room no longer.
  #releaseReservations (state: CellState): void {
    const { rooms } = this.#indexes
    for (const { task, vm } of [...rooms.reservations]) {
      const isUsable = state.vms.get(vm)?.session !== undefined
      if (state.tasks.get(task)?.state !== 'queued' || !isUsable) rooms.release(task)
    }
  }

  #serveLanes (state: CellState, transitions: Transition[], now: Instant): void {
    const { queue, rooms, usage } = this.#indexes
    const attempt = (id: TaskId): boolean => {
      const transition = this.#placeTask(state, state.tasks.get(id) as Task, now)
      if (transition === undefined) return false
      state.apply(transition, now)
      transitions.push(transition)
      rooms.refresh(state, now)
      return true
    }
    for (const lane of queue.priorityLanes) {
      const turn = lane.takeTurn()
      while (transitions.length < MAX_STARTS_PER_PASS && turn.placeOne(attempt));
    }
    const shareOf = (team: TeamName): number => usage.dominantShare(team, rooms.wholeSize)
    serveTeams(queue.teamLanes, shareOf, attempt, MAX_STARTS_PER_PASS - transitions.length, now)
  }

  #placeTask (state: CellState, task: Task, now: Instant): Transition | undefined {
    const { health, queue, rooms, usage } = this.#indexes
    const { spec } = task
    if (rooms.whole.find(spec.resources, 1, 0).length === 0) {
      return { kind: 'unrunnable', task: spec.id, reason: { kind: 'too-large', largest: rooms.whole.largest } }
    }
    const isDeclared = spec.kind !== 'batch'
    if (!isDeclared && !usage.hasRoom(spec.team, spec.resources, spec.isUrgent)) return undefined
    const waitedMs = now - (queue.waitingSince(spec) ?? now)
    const { vm } = this.#chooser.choose(state, task, isDeclared || spec.isUrgent || waitedMs > PATIENCE_MS)
    if (vm?.session === undefined) return undefined
    rooms.release(spec.id)
    health.noteStart(vm.id)
    return { kind: 'assigned', task: spec.id, attempt: brand<Attempt>(task.attempt + 1), vm: vm.id, session: vm.session }
  }

  #observeReading (state: CellState, vm: VmId, { measuredAt, tasks }: UsageReading): void {
    const neighbours: Neighbour[] = []
    for (const { id, attempt, processors } of tasks) {
      const task = state.tasks.get(id)
      // What has been forgotten can't be named, and a sample with a neighbour missing would teach a lie.
      if (task === undefined) return
      if (task.spec.kind === 'replica') continue
      neighbours.push({ kind: kindOf(task.spec), cores: processors })
      if (task.attempt === attempt) this.#sizes.learn(task.spec, processors, task.placement?.throttle ?? 1)
    }
    let worst: Readonly<{ service: ServiceName, ratio: number }> | undefined
    for (const reading of tasks) {
      const seen = this.#observeReplica(state, vm, reading, neighbours, measuredAt)
      if (seen !== undefined && (worst === undefined || seen.ratio > worst.ratio)) worst = seen
    }
    if (worst !== undefined) this.#relief.observe(vm, worst.service, worst.ratio, measuredAt)
  }

  #observeReplica (state: CellState, vm: VmId, reading: TaskReading, neighbours: readonly Neighbour[], measuredAt: Instant): Readonly<{ service: ServiceName, ratio: number }> | undefined {
    const spec = state.tasks.get(reading.id)?.spec
    const objectiveMs = spec?.service === undefined ? undefined : this.#objectives.get(spec.service)
    if (spec?.service === undefined || objectiveMs === undefined || reading.latencyP99Ms === undefined) return undefined
    const load = reading.processors / spec.resources.processors
    const ratio = reading.latencyP99Ms / objectiveMs
    this.#model.learn({ service: spec.service, load, ratio, neighbours, measuredAt })
    this.#loads.observe(vm, spec.service, load, measuredAt)
    return { service: spec.service, ratio }
  }
}

const NO_TRANSITIONS: readonly Transition[] = []

const scaled = ({ processors, memoryMb, accelerators }: Resources, share: number): Resources => ({
  processors: processors * share, memoryMb: memoryMb * share, accelerators: accelerators * share
})
