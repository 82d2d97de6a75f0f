/**
 * Replays a trace with real cells, fake VMs and a virtual clock.
 */
import {
  brand, InvariantError, rendezvousRank, SeededRandom, type CellId, type Epoch, type Instant, type Random, type TaskId
} from '@auburnpin/common'
import { Cell, declaredTasks, type CellAction, type CellEvent, type Configuration, type Policy, type Task, type Transition, type UsageReading } from '@auburnpin/core'
import { ACTION_DELAY_MS, LEASE_RENEWAL_INTERVAL_MS, QUOTA_CHECK_INTERVAL_MS, REPORT_INTERVAL_MS, STEP_MS, USAGE_INTERVAL_MS } from './constants.ts'
import type { FakeVm, TaskBehaviour } from './FakeVm.ts'
import { GroundTruth, programOf } from './GroundTruth.ts'
import { listJobs, type TimedJob } from './listJobs.ts'
import { Measures } from './Measures.ts'
import { countBrokenInvariants, quotaErrorOf } from './checks.ts'
import { Region } from './Region.ts'
import type { Summary } from './Summary.ts'
import { toConfiguration } from './toConfiguration.ts'
import type { Trace } from './Trace.ts'

/** Creates the policy of one cell. */
export type PolicyFactory = (groundTruth: GroundTruth, random: Random, cellCount: number) => Policy

type ScheduledCall = Readonly<{ dueMs: number, run: () => void }>

const SERVICE_BEHAVIOUR: TaskBehaviour = { runMs: Infinity, usage: 1, fails: false }
// The offsets keep these seeds apart from those of VMs and jobs.
const POLICY_SEED_OFFSET = 2_000_000
const LAG_SEED_OFFSET = 3_000_000
const LATENCY_SEED_OFFSET = 4_000_000

/**
 * Replays one trace under one policy. The result is deterministic: the same trace and policy give the same summary.
 *
 * @example
 * const summary = new Replay(trace, createPolicy).run()
 */
export class Replay {
  readonly #trace: Trace
  readonly #groundTruth: GroundTruth
  readonly #region: Region
  readonly #measures: Measures
  readonly #configuration: Configuration
  readonly #cells = new Map<CellId, Cell>()
  readonly #jobs: TimedJob[]
  readonly #behaviours = new Map<TaskId, TaskBehaviour>()
  readonly #submittedAt = new Map<TaskId, number>()
  readonly #lagRandom: Random
  #scheduledCalls: ScheduledCall[] = []
  #lagMs: number
  #nextJob = 0
  #nowMs = 0

  constructor (trace: Trace, createPolicy: PolicyFactory) {
    this.#trace = trace
    const { seed, lagMs } = trace.region
    this.#lagMs = lagMs
    this.#lagRandom = new SeededRandom(seed + LAG_SEED_OFFSET)
    this.#groundTruth = new GroundTruth(trace)
    this.#measures = new Measures(new SeededRandom(seed + LATENCY_SEED_OFFSET))
    this.#region = new Region(trace, this.#groundTruth, {
      onWorkDone: coreMs => this.#measures.recordWorkDone(coreMs),
      onWorkLost: coreMs => this.#measures.recordWorkLost(coreMs),
      onLatencyRatio: (_vm, _service, ratio, load) => this.#measures.recordLatencyRatio(ratio, load)
    })
    this.#configuration = toConfiguration(trace)
    this.#jobs = listJobs(trace)
    for (const { id } of this.#region.cells) {
      const policy = createPolicy(this.#groundTruth, new SeededRandom(seed + POLICY_SEED_OFFSET), this.#region.cells.length)
      this.#cells.set(id, new Cell({ cell: id, epoch: brand<Epoch>(1) }, policy))
    }
  }

  /** Runs the trace to its end and returns the summary. */
  run (): Summary {
    this.#start()
    for (this.#nowMs = STEP_MS; this.#nowMs <= this.#trace.region.durationMs; this.#nowMs += STEP_MS) this.#step()
    return this.#measures.toSummary(this.#allTasks(), this.#trace.region.durationMs)
  }

  #start (): void {
    const ids = [...this.#cells.keys()]
    for (const id of ids) {
      this.#dispatch(id, { kind: 'configured', configuration: this.#configuration, declared: declaredTasks(this.#configuration, ids, id) })
    }
    this.#pollVms()
  }

  #step (): void {
    this.#region.applyFaults(this.#nowMs)
    for (const { atMs, lagMs } of this.#trace.linesOf('lag')) if (atMs === this.#nowMs) this.#lagMs = lagMs
    this.#runDueCalls()
    for (const vm of this.#region.vms) if (!vm.isLost) vm.advance(this.#nowMs, STEP_MS)
    this.#submitJobs()
    this.#cancelTasks()
    this.#pollVms()
    for (const id of this.#cells.keys()) this.#dispatch(id, { kind: 'tick' })
    if (this.#nowMs % QUOTA_CHECK_INTERVAL_MS === 0) this.#measures.recordQuotaError(quotaErrorOf(this.#allTasks(), this.#configuration))
    if (this.#nowMs % REPORT_INTERVAL_MS === 0) this.#measures.brokenInvariants += countBrokenInvariants(this.#region.vms)
  }

  // Each VM has its own phase, so that the reports are spread over several steps.
  #pollVms (): void {
    for (const { id, vms } of this.#region.cells) {
      if (this.#nowMs % REPORT_INTERVAL_MS === 0) {
        const listed = vms.filter(vm => this.#region.isListed(vm, this.#nowMs)).map(vm => vm.listed)
        this.#dispatch(id, { kind: 'vms-listed', vms: listed })
      }
      for (const [index, vm] of vms.entries()) if (!vm.isLost) this.#pollVm(id, vm, this.#nowMs + index * STEP_MS)
    }
  }

  #pollVm (cell: CellId, vm: FakeVm, phasedMs: number): void {
    const { id } = vm.listed
    if (phasedMs % LEASE_RENEWAL_INTERVAL_MS === 0 || this.#nowMs === 0) this.#dispatch(cell, { kind: 'lease-granted', vm: id, session: vm.session, sentAt: this.#now })
    if (phasedMs % REPORT_INTERVAL_MS === 0) {
      vm.reportLatency(this.#nowMs)
      this.#dispatch(cell, { kind: 'reported', vm: id, askedAt: this.#now, session: vm.session, tasks: vm.reportTasks() })
    }
    if (phasedMs % USAGE_INTERVAL_MS !== 0) return
    const reading: UsageReading = { measuredAt: this.#now, tasks: vm.measureUsage(this.#nowMs, this.#trace.region.noise) }
    // Between 0.7 and 1.3 times the mean lag.
    const lagMs = this.#lagMs * (0.7 + 0.6 * this.#lagRandom.fraction())
    this.#schedule(lagMs, () => this.#dispatch(cell, { kind: 'usage', vm: id, readings: [reading] }))
  }

  #submitJobs (): void {
    while (true) {
      const job = this.#jobs[this.#nextJob]
      if (job === undefined || job.atMs > this.#nowMs) return
      this.#nextJob++
      this.#behaviours.set(job.spec.id, job.behaviour)
      this.#submittedAt.set(job.spec.id, this.#nowMs)
      const [cell] = rendezvousRank(job.spec.id, this.#cells.keys())
      this.#dispatch(cell as CellId, { kind: 'submitted', spec: job.spec })
    }
  }

  #cancelTasks (): void {
    for (const { atMs, command, share } of this.#trace.linesOf('cancel')) {
      if (atMs !== this.#nowMs) continue
      for (const [id, cell] of this.#cells) {
        const ofProgram = [...cell.state.tasks.values()].filter(({ spec }) => programOf(spec.command) === command)
        for (const { spec } of ofProgram.slice(0, Math.ceil(share * ofProgram.length))) this.#dispatch(id, { kind: 'cancelled', task: spec.id })
      }
    }
  }

  #dispatch (id: CellId, event: CellEvent): void {
    const cell = this.#cells.get(id) as Cell
    try {
      const { transitions, actions } = cell.step(event, this.#now)
      cell.markDurable(transitions, this.#now)
      for (const transition of transitions) this.#countEviction(transition)
      for (const action of actions) this.#schedule(ACTION_DELAY_MS, () => this.#applyAction(action))
    } catch (error) {
      if (!(error instanceof InvariantError)) throw error
      this.#measures.brokenInvariants++
    }
  }

  #countEviction (transition: Transition): void {
    if (transition.kind !== 'stopping') return
    if (transition.reason.kind === 'evicted-for-service') this.#measures.evictionsForServices++
    if (transition.reason.kind === 'evicted-for') this.#measures.evictionsForUrgent++
  }

  #applyAction (action: CellAction): void {
    if (action.kind === 'publish-endpoints') return
    const vm = this.#region.get(action.vm)
    if (vm === undefined || vm.isLost) return
    if (action.kind === 'throttle') this.#measures.throttles++
    if (action.kind !== 'start') return vm.applyAction(action)
    const { spec, attempt } = action.task
    vm.start(action, this.#behaviours.get(spec.id) ?? SERVICE_BEHAVIOUR)
    const submittedAt = this.#submittedAt.get(spec.id)
    if (!spec.isUrgent || attempt !== 1 || submittedAt === undefined) return
    this.#submittedAt.delete(spec.id)
    this.#measures.recordUrgentStart(this.#nowMs - submittedAt)
  }

  #schedule (delayMs: number, run: () => void): void {
    this.#scheduledCalls.push({ dueMs: this.#nowMs + delayMs, run })
  }

  #runDueCalls (): void {
    const due = this.#scheduledCalls.filter(({ dueMs }) => dueMs <= this.#nowMs)
    this.#scheduledCalls = this.#scheduledCalls.filter(({ dueMs }) => dueMs > this.#nowMs)
    for (const { run } of due) run()
  }

  #allTasks (): Task[] {
    return [...this.#cells.values()].flatMap(cell => [...cell.state.tasks.values()])
  }

  get #now (): Instant {
    return brand<Instant>(this.#nowMs)
  }
}
