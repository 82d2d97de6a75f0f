/**
 * A worker's VM: runs tasks under a lease session, and measures services that its batch work slows down.
 */
import { brand, type Attempt, type LeaseSession, type Random, type TaskId } from '@auburnpin/common'
import type { CellAction, ListedVm, ReportedTask, TaskReading, TaskSpec } from '@auburnpin/core'
import { CHECKPOINT_MS, FAIL_AFTER_MS, RESUME_LOSS_MS } from './constants.ts'
import { programOf, type HiddenTable } from './HiddenTable.ts'
import { gaussian } from './gaussian.ts'

/** How a task really behaves. */
export type Program = Readonly<{ runMs: number, usage: number, fails: boolean }>

type Running = {
  readonly spec: TaskSpec
  readonly attempt: Attempt
  readonly program: Program
  readonly resumedAtMs: number
  progressMs: number
  ranMs: number
  share: number
  state: ReportedTask['state']
  stopsInMs?: number
}

type Start = Extract<CellAction, { kind: 'start' }>

/** Effects on the measures, told as they happen. */
export type VmLedger = Readonly<{
  worked: (coreMs: number) => void
  lost: (coreMs: number) => void
  answered: (vm: FakeVm, service: string, ratio: number, load: number) => void
}>

/** Advances in steps of the virtual clock. */
export class FakeVm {
  readonly listed: ListedVm
  readonly #table: HiddenTable
  readonly #random: Random
  readonly #ledger: VmLedger
  readonly #loadSkew: number
  readonly #tasks = new Map<TaskId, Running>()
  #sessions = 0

  isLost = false
  /** Fails every task that is started. */
  isFailing = false

  constructor (listed: ListedVm, table: HiddenTable, random: Random, ledger: VmLedger) {
    this.listed = listed
    this.#table = table
    this.#random = random
    this.#ledger = ledger
    this.#loadSkew = 0.85 + 0.3 * random.fraction()
  }

  get session (): LeaseSession {
    return brand<LeaseSession>(`${this.listed.id}/${this.#sessions}`)
  }

  get runningIds (): TaskId[] {
    return [...this.#tasks.values()].filter(task => task.state === 'running').map(task => task.spec.id)
  }

  /** Declared processors of everything that runs. */
  get committedProcessors (): number {
    let sum = 0
    for (const { spec, state } of this.#tasks.values()) if (state === 'running') sum += spec.resources.processors
    return sum
  }

  /** The VM is gone, with all that ran on it. */
  lose (): void {
    this.isLost = true
    this.#sessions++
    for (const task of this.#tasks.values()) this.#ledger.lost((task.progressMs - task.resumedAtMs) * task.spec.resources.processors)
    this.#tasks.clear()
  }

  start ({ task, session }: Start, program: Program): void {
    if (this.isLost || session !== this.session) return
    const known = this.#tasks.get(task.spec.id)
    if (known !== undefined && known.attempt >= task.attempt) return
    const saved = Number(task.checkpoint ?? 0)
    this.#tasks.set(task.spec.id, {
      spec: task.spec, attempt: task.attempt, program, resumedAtMs: saved, progressMs: saved, ranMs: 0, share: 1, state: 'running'
    })
  }

  /** Carries out anything else that a cell asks. */
  obey (action: Exclude<CellAction, { kind: 'start' | 'publish-endpoints' }>): void {
    const task = this.#tasks.get(action.task)
    if (task === undefined || task.attempt !== action.attempt || action.session !== this.session) return
    if (action.kind === 'acknowledge') {
      if (task.state !== 'running') this.#tasks.delete(action.task)
    } else if (action.kind === 'throttle') {
      task.share = action.share
    } else {
      task.stopsInMs ??= action.isCheckpointed ? CHECKPOINT_MS : 0
    }
  }

  report (): ReportedTask[] {
    const reported: ReportedTask[] = []
    for (const { spec, attempt, state, progressMs } of this.#tasks.values()) {
      const checkpoint = state === 'stopped' ? String(progressMs) : undefined
      const result = state === 'failed' ? 'exit code 1' : 'done'
      reported.push({ id: spec.id, attempt, state, checkpoint, result, address: spec.service === undefined ? undefined : this.listed.address })
    }
    return reported
  }

  /** One usage sample. */
  measure (nowMs: number, noise: number): TaskReading[] {
    const readings: TaskReading[] = []
    for (const task of this.#tasks.values()) {
      if (task.state !== 'running') continue
      const { spec, attempt } = task
      const processors = this.#coresOf(task, nowMs)
      const isReplica = spec.service !== undefined
      const latencyP99Ms = isReplica ? this.#ratioOf(task, nowMs) * this.#objectiveOf(spec) * Math.exp(noise * gaussian(this.#random)) : undefined
      readings.push({ id: spec.id, attempt, processors, memoryMb: spec.resources.memoryMb, latencyP99Ms })
    }
    return readings
  }

  /** Lets `stepMs` pass. */
  advance (nowMs: number, stepMs: number): void {
    for (const task of this.#tasks.values()) {
      if (task.state === 'running') this.#advanceTask(task, stepMs)
    }
  }

  /** Tells the ledger how the services fare. */
  answer (nowMs: number): void {
    for (const task of this.#tasks.values()) {
      if (task.state !== 'running' || task.spec.service === undefined) continue
      this.#ledger.answered(this, task.spec.service, this.#ratioOf(task, nowMs), this.#loadOf(task.spec, nowMs))
    }
  }

  #advanceTask (task: Running, stepMs: number): void {
    task.ranMs += stepMs
    const cores = task.spec.resources.processors
    if (task.stopsInMs !== undefined) {
      task.stopsInMs -= stepMs
      if (task.stopsInMs <= 0) this.#stop(task)
      return
    }
    if ((this.isFailing || task.program.fails) && task.ranMs >= FAIL_AFTER_MS) {
      task.state = 'failed'
      return
    }
    if (task.spec.kind !== 'batch') return
    // The worker holds a task to its declared cores, so one that needs more takes longer.
    const done = stepMs * Math.min(1, task.share / Math.min(1, task.program.usage)) / Math.max(1, task.program.usage)
    task.progressMs += done
    this.#ledger.worked(done * cores * Math.min(1, task.program.usage))
    if (task.progressMs >= task.program.runMs) task.state = 'finished'
  }

  #stop (task: Running): void {
    const kept = Math.max(task.resumedAtMs, task.progressMs - RESUME_LOSS_MS)
    this.#ledger.lost((task.progressMs - kept) * task.spec.resources.processors)
    task.progressMs = kept
    task.state = 'stopped'
  }

  #coresOf ({ spec, program, share }: Running, nowMs: number): number {
    if (spec.service !== undefined) return spec.resources.processors * this.#loadOf(spec, nowMs)
    return spec.resources.processors * Math.min(1, program.usage, share)
  }

  #loadOf (spec: TaskSpec, nowMs: number): number {
    return this.#loadSkew * this.#table.loadAt(spec.service as string, nowMs)
  }

  #ratioOf ({ spec }: Running, nowMs: number): number {
    const service = spec.service as NonNullable<TaskSpec['service']>
    const load = this.#loadOf(spec, nowMs)
    let slowdown = 1
    for (const other of this.#tasks.values()) {
      if (other.spec.service !== undefined || other.state !== 'running') continue
      slowdown += this.#coresOf(other, nowMs) * this.#table.slowdownPerCore(service, programOf(other.spec.command), load)
    }
    return this.#table.baseRatio(service, load) * slowdown
  }

  #objectiveOf (spec: TaskSpec): number {
    return this.#table.objectiveOf(spec.service as string)
  }
}
