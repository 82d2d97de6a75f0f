/**
 * Replays a trace: real cells, fake VMs, a virtual clock.
 */
import {
  brand, InvariantError, rendezvousRank, SeededRandom, type CellId, type Epoch, type Instant, type Random, type TaskId
} from '@auburnpin/common'
import { Cell, declaredTasks, type CellAction, type CellEvent, type Configuration, type Policy, type Task, type Transition, type UsageReading } from '@auburnpin/core'
import { ACTION_DELAY_MS, LEASE_RENEW_MS, QUOTA_LOOK_MS, REPORT_MS, STEP_MS, USAGE_MS } from './constants.ts'
import type { FakeVm, Program } from './FakeVm.ts'
import { HiddenTable, programOf } from './HiddenTable.ts'
import { listJobs, type TimedJob } from './listJobs.ts'
import { Measures } from './Measures.ts'
import { findBreaches, quotaErrorOf } from './checks.ts'
import { Region } from './Region.ts'
import type { Summary } from './Summary.ts'
import { toConfiguration } from './toConfiguration.ts'
import type { Trace } from './Trace.ts'

/** Makes the policy of one cell. */
export type PolicyMaker = (table: HiddenTable, random: Random, cells: number) => Policy

type Pending = Readonly<{ dueMs: number, run: () => void }>

const SERVICE_PROGRAM: Program = { runMs: Infinity, usage: 1, fails: false }
const POLICY_SEED = 2_000_000
const LAG_SEED = 3_000_000
const ANSWER_SEED = 4_000_000

/**
 * One replay of one trace under one policy. The same trace and policy give the same summary.
 *
 * @example
 * const summary = new Replay(trace, makePolicy).run()
 */
export class Replay {
  readonly #trace: Trace
  readonly #table: HiddenTable
  readonly #region: Region
  readonly #measures: Measures
  readonly #configuration: Configuration
  readonly #cells = new Map<CellId, Cell>()
  readonly #jobs: TimedJob[]
  readonly #programs = new Map<TaskId, Program>()
  readonly #submittedAt = new Map<TaskId, number>()
  readonly #lagRandom: Random
  #pending: Pending[] = []
  #lagMs: number
  #nextJob = 0
  #nowMs = 0

  constructor (trace: Trace, makePolicy: PolicyMaker) {
    this.#trace = trace
    const { seed, lagMs } = trace.region
    this.#lagMs = lagMs
    this.#lagRandom = new SeededRandom(seed + LAG_SEED)
    this.#table = new HiddenTable(trace)
    this.#measures = new Measures(new SeededRandom(seed + ANSWER_SEED))
    this.#region = new Region(trace, this.#table, {
      worked: coreMs => this.#measures.worked(coreMs),
      lost: coreMs => this.#measures.lost(coreMs),
      answered: (_vm, _service, ratio, load) => this.#measures.answered(ratio, load)
    })
    this.#configuration = toConfiguration(trace)
    this.#jobs = listJobs(trace)
    for (const { id } of this.#region.cells) {
      const policy = makePolicy(this.#table, new SeededRandom(seed + POLICY_SEED), this.#region.cells.length)
      this.#cells.set(id, new Cell({ cell: id, epoch: brand<Epoch>(1) }, policy))
    }
  }

  /** Runs to the trace's end. */
  run (): Summary {
    this.#begin()
    for (this.#nowMs = STEP_MS; this.#nowMs <= this.#trace.region.durationMs; this.#nowMs += STEP_MS) this.#step()
    return this.#measures.toSummary(this.#allTasks(), this.#trace.region.durationMs)
  }

  #begin (): void {
    const ids = [...this.#cells.keys()]
    for (const id of ids) {
      this.#tell(id, { kind: 'configured', configuration: this.#configuration, declared: declaredTasks(this.#configuration, ids, id) })
    }
    this.#everyVm()
  }

  #step (): void {
    this.#region.disturb(this.#nowMs)
    for (const { atMs, lagMs } of this.#trace.of('lag')) if (atMs === this.#nowMs) this.#lagMs = lagMs
    this.#deliver()
    for (const vm of this.#region.vms) if (!vm.isLost) vm.advance(this.#nowMs, STEP_MS)
    this.#submit()
    this.#cancel()
    this.#everyVm()
    for (const id of this.#cells.keys()) this.#tell(id, { kind: 'tick' })
    if (this.#nowMs % QUOTA_LOOK_MS === 0) this.#measures.lookedAtQuota(quotaErrorOf(this.#allTasks(), this.#configuration))
    if (this.#nowMs % REPORT_MS === 0) this.#measures.brokenInvariants += findBreaches(this.#region.vms)
  }

  // Each VM has its own phase, so that not all report in one step.
  #everyVm (): void {
    for (const { id, vms } of this.#region.cells) {
      if (this.#nowMs % REPORT_MS === 0) {
        const listed = vms.filter(vm => this.#region.isListed(vm, this.#nowMs)).map(vm => vm.listed)
        this.#tell(id, { kind: 'vms-listed', vms: listed })
      }
      for (const [index, vm] of vms.entries()) if (!vm.isLost) this.#hear(id, vm, this.#nowMs + index * STEP_MS)
    }
  }

  #hear (cell: CellId, vm: FakeVm, phasedMs: number): void {
    const { id } = vm.listed
    if (phasedMs % LEASE_RENEW_MS === 0 || this.#nowMs === 0) this.#tell(cell, { kind: 'lease-granted', vm: id, session: vm.session, sentAt: this.#now })
    if (phasedMs % REPORT_MS === 0) {
      vm.answer(this.#nowMs)
      this.#tell(cell, { kind: 'reported', vm: id, askedAt: this.#now, session: vm.session, tasks: vm.report() })
    }
    if (phasedMs % USAGE_MS !== 0) return
    const reading: UsageReading = { measuredAt: this.#now, tasks: vm.measure(this.#nowMs, this.#trace.region.noise) }
    const lagMs = this.#lagMs * (0.7 + 0.6 * this.#lagRandom.fraction())
    this.#later(lagMs, () => this.#tell(cell, { kind: 'usage', vm: id, readings: [reading] }))
  }

  #submit (): void {
    while (true) {
      const job = this.#jobs[this.#nextJob]
      if (job === undefined || job.atMs > this.#nowMs) return
      this.#nextJob++
      this.#programs.set(job.spec.id, job.program)
      this.#submittedAt.set(job.spec.id, this.#nowMs)
      const [cell] = rendezvousRank(job.spec.id, this.#cells.keys())
      this.#tell(cell as CellId, { kind: 'submitted', spec: job.spec })
    }
  }

  #cancel (): void {
    for (const { atMs, command, share } of this.#trace.of('cancel')) {
      if (atMs !== this.#nowMs) continue
      for (const [id, cell] of this.#cells) {
        const ofProgram = [...cell.state.tasks.values()].filter(({ spec }) => programOf(spec.command) === command)
        for (const { spec } of ofProgram.slice(0, Math.ceil(share * ofProgram.length))) this.#tell(id, { kind: 'cancelled', task: spec.id })
      }
    }
  }

  #tell (id: CellId, event: CellEvent): void {
    const cell = this.#cells.get(id) as Cell
    try {
      const { transitions, actions } = cell.step(event, this.#now)
      cell.settle(transitions, this.#now)
      for (const transition of transitions) this.#count(transition)
      for (const action of actions) this.#later(ACTION_DELAY_MS, () => this.#carryOut(action))
    } catch (error) {
      if (!(error instanceof InvariantError)) throw error
      this.#measures.brokenInvariants++
    }
  }

  #count (transition: Transition): void {
    if (transition.kind !== 'stopping') return
    if (transition.reason.kind === 'evicted-for-service') this.#measures.evictionsForServices++
    if (transition.reason.kind === 'evicted-for') this.#measures.evictionsForUrgent++
  }

  #carryOut (action: CellAction): void {
    if (action.kind === 'publish-endpoints') return
    const vm = this.#region.get(action.vm)
    if (vm === undefined || vm.isLost) return
    if (action.kind === 'throttle') this.#measures.throttles++
    if (action.kind !== 'start') return vm.obey(action)
    const { spec, attempt } = action.task
    vm.start(action, this.#programs.get(spec.id) ?? SERVICE_PROGRAM)
    const submittedAt = this.#submittedAt.get(spec.id)
    if (!spec.isUrgent || attempt !== 1 || submittedAt === undefined) return
    this.#submittedAt.delete(spec.id)
    this.#measures.startedUrgent(this.#nowMs - submittedAt)
  }

  #later (afterMs: number, run: () => void): void {
    this.#pending.push({ dueMs: this.#nowMs + afterMs, run })
  }

  #deliver (): void {
    const due = this.#pending.filter(({ dueMs }) => dueMs <= this.#nowMs)
    this.#pending = this.#pending.filter(({ dueMs }) => dueMs > this.#nowMs)
    for (const { run } of due) run()
  }

  #allTasks (): Task[] {
    return [...this.#cells.values()].flatMap(cell => [...cell.state.tasks.values()])
  }

  get #now (): Instant {
    return brand<Instant>(this.#nowMs)
  }
}
