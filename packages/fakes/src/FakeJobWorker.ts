/**
 * An in-memory worker that follows the rules of real workers: leases on its own clock, fencing by the owner's epoch,
 * increasing attempt numbers, and ends that are listed until they are acknowledged.
 */
import { brand, type Attempt, type Clock, type Epoch, type Incarnation, type Timer, type WorkerId } from '@auburnpin/common'
import type { ReportedEnd, ReportedRun, RunEnding, StartOutcome, TaskName, WorkerEntry, WorkerReport } from '@auburnpin/core'
import type { ReportRequest, RunName, StartRequest } from '@auburnpin/jobs'
import { FakeCapacity } from './FakeCapacity.ts'
import { workerEntryOf } from './jobBuilders.ts'

/**
 * How long a task runs and how it ends. A long-running task is at work, at 100 percent, after `startupMs`. A crashing task
 * crashes its worker `crashAfterMs` after its start. `checkpoint` is listed with the run while it runs; empty for none.
 * `reading` is that of each report; 0 if absent.
 */
export type FakeRunBehaviour = Readonly<{ runMs: number, ending: 'done' | 'failed', startupMs?: number, crashAfterMs?: number, checkpoint?: string, reading?: number }>

type Run = { readonly task: TaskName, readonly attempt: Attempt, readonly timer: Timer, readonly startedAt: number, readonly fullProgressMs: number, readonly checkpoint: string, readonly reading: number }

/**
 * Start or end of a run. `unacknowledged`: the worker crashed or its lease expired before the end was acknowledged. A run
 * that its worker's crash ended has ended `crashing` if it caused the crash, else `crashed`.
 */
export type WorkerEvent = Readonly<{ kind: 'started' | 'ended' | 'unacknowledged', worker: WorkerId, task: TaskName, attempt: Attempt, how: string, at: number }>

const FAILING_RUN: FakeRunBehaviour = { runMs: 50, ending: 'failed' }

const STALLED_RUN: FakeRunBehaviour = { runMs: 1e9, ending: 'done' }

const MAX_LEASE_MS = 10_000

/** Most ends that one report lists. */
export const MAX_ENDS_PER_REPORT = 500

/** One worker across its incarnations. */
export class FakeJobWorker {
  readonly id: WorkerId
  readonly capacity: FakeCapacity
  readonly #clock: Clock
  readonly #behaviourOf: (task: TaskName) => FakeRunBehaviour
  readonly #emit: (event: WorkerEvent) => void
  #startedAt: number
  #runs = new Map<TaskName, Run>()
  #ended: ReportedEnd[] = []
  #lastSequence = 0
  #highestAttempts = new Map<TaskName, number>()
  #highestEpoch = 0
  #leaseEndMs = 0
  #leaseTimer: Timer | undefined
  #awaitingUp: (() => void)[] = []
  #isFailing = false
  #isStalling = false
  hasCrashed = false
  isDraining = false
  rack = ''
  zone = 'derby'

  constructor (id: string, clock: Clock, behaviourOf: (task: TaskName) => FakeRunBehaviour, onEvent: (event: WorkerEvent) => void) {
    this.id = brand<WorkerId>(id)
    this.#clock = clock
    this.capacity = new FakeCapacity(clock)
    this.#behaviourOf = behaviourOf
    this.#emit = onEvent
    this.#startedAt = Math.floor(clock.now())
  }

  get entry (): WorkerEntry {
    return workerEntryOf(this.id, { incarnation: brand<Incarnation>(this.#startedAt + 1), address: this.id, zone: this.zone, rack: this.rack, isDraining: this.isDraining, ...this.capacity.amounts })
  }

  get running (): readonly TaskName[] {
    return [...this.#runs.keys()]
  }

  get clockMs (): number {
    return this.#clock.now() - this.#startedAt
  }

  /** Every task that starts from now on makes no progress and never ends. */
  stallNewRuns (): void {
    this.#isStalling = true
  }

  /** Every task that starts from now on fails, or none. */
  failNewRuns (isFailing = true): void {
    this.#isFailing = isFailing
  }

  /** Ends all runs as failed. */
  failRuns (): void {
    for (const run of [...this.#runs.values()]) this.#finish(run, 'failed')
  }

  /** Ends all runs; their ends and those not yet acknowledged are lost. */
  crash (): void {
    this.#crash()
  }

  #crash (cause?: Run): void {
    this.hasCrashed = true
    this.#leaseTimer?.cancel()
    for (const run of [...this.#runs.values()]) this.#end(run, run === cause ? 'crashing' : 'crashed')
    this.#emitUnacknowledgedEnds()
    this.#ended = []
  }

  /** Starts a new incarnation with the same id and address and no state of the previous one. */
  restart (): void {
    this.hasCrashed = false
    this.#startedAt = Math.floor(this.#clock.now())
    this.#lastSequence = 0
    this.#highestAttempts = new Map()
    this.#highestEpoch = 0
    this.#leaseEndMs = 0
    for (const action of this.#awaitingUp.splice(0)) action()
  }

  /** Acts at once, or if the worker is down, as soon as its next incarnation is up. */
  whenUp (action: () => void): void {
    if (this.hasCrashed) this.#awaitingUp.push(action)
    else action()
  }

  start ({ task, attempt, leaseEndMs, epoch }: StartRequest): StartOutcome {
    if (epoch < this.#highestEpoch) return 'fenced'
    this.#highestEpoch = epoch
    this.#extendLease(leaseEndMs)
    if (this.#runs.get(task)?.attempt === attempt) return 'started'
    if (attempt <= (this.#highestAttempts.get(task) ?? 0)) return 'superseded'
    if (leaseEndMs <= this.clockMs) return 'too-late'
    if (this.capacity.refuses(task, this.running)) return 'no-room'
    const { runMs, ending, startupMs = runMs, crashAfterMs, checkpoint = '', reading = 0 } = this.#isFailing ? FAILING_RUN : this.#isStalling ? STALLED_RUN : this.#behaviourOf(task)
    const run: Run = { task, attempt, fullProgressMs: startupMs, checkpoint, reading, startedAt: this.#clock.now(), timer: this.#clock.after(crashAfterMs ?? runMs, () => crashAfterMs === undefined ? this.#finish(run, ending) : this.#crashUnder(run)) }
    const replaced = this.#runs.get(task)
    this.#highestAttempts.set(task, attempt)
    this.#emit({ kind: 'started', worker: this.id, task, attempt, how: '', at: this.#clock.now() })
    if (replaced !== undefined) this.#end(replaced, 'stopped')
    this.#runs.set(task, run)
    return 'started'
  }

  stop ({ task, attempt }: RunName, epoch: Epoch): 'taken' | 'fenced' {
    if (epoch < this.#highestEpoch) return 'fenced'
    this.#highestEpoch = epoch
    this.#highestAttempts.set(task, Math.max(attempt, this.#highestAttempts.get(task) ?? 0))
    const run = this.#runs.get(task)
    if (run?.attempt === attempt) this.#end(run, 'stopped')
    return 'taken'
  }

  report ({ epoch, acknowledgedEnd, leaseEndMs }: ReportRequest): WorkerReport | 'fenced' {
    if (epoch < this.#highestEpoch) return 'fenced'
    this.#highestEpoch = epoch
    this.expireLeaseIfDue()
    if (leaseEndMs !== undefined) this.#extendLease(leaseEndMs)
    this.#ended = this.#ended.filter(end => end.sequence > acknowledgedEnd)
    const running: ReportedRun[] = [...this.#runs.values()].map(({ task, attempt, startedAt, fullProgressMs, checkpoint, reading }) =>
      ({ task, attempt, checkpoint, progressPercent: Math.min(100, Math.floor(100 * (this.#clock.now() - startedAt) / fullProgressMs)), reading }))
    return { incarnation: this.entry.incarnation, clockMs: this.clockMs, running, ended: this.#ended.slice(0, MAX_ENDS_PER_REPORT), mayHaveMoreEnds: this.#ended.length >= MAX_ENDS_PER_REPORT }
  }

  hasEndAfter (acknowledgedEnd: number): boolean {
    return this.#ended.some(({ sequence }) => sequence > acknowledgedEnd)
  }

  /**
   * Expires the lease if its time has passed. On a busy machine the timer may be late, and until then an expired lease
   * must not be extended, nor may a run end successfully.
   */
  expireLeaseIfDue (): void {
    if (this.#leaseEndMs > 0 && this.clockMs > this.#leaseEndMs) this.#expireLease()
  }

  #expireLease (): void {
    this.#leaseTimer?.cancel()
    this.#leaseEndMs = 0
    for (const run of [...this.#runs.values()]) this.#end(run, 'lapsed')
    this.#emitUnacknowledgedEnds()
  }

  #extendLease (leaseEndMs: number): void {
    this.expireLeaseIfDue()
    this.#leaseEndMs = Math.max(this.#leaseEndMs, Math.min(leaseEndMs, this.clockMs + MAX_LEASE_MS))
    this.#leaseTimer?.cancel()
    this.#leaseTimer = this.#clock.after(this.#leaseEndMs - this.clockMs, () => this.#expireLease())
  }

  // These ends can no longer be acknowledged.
  #emitUnacknowledgedEnds (): void {
    for (const { task, attempt, ending } of this.#ended) this.#emit({ kind: 'unacknowledged', worker: this.id, task, attempt, how: ending, at: this.#clock.now() })
  }

  #finish (run: Run, ending: 'done' | 'failed'): void {
    this.expireLeaseIfDue()
    this.#end(run, ending)
  }

  #crashUnder (run: Run): void {
    this.expireLeaseIfDue()
    if (this.#runs.get(run.task) === run) this.#crash(run)
  }

  #end (run: Run, how: RunEnding | 'crashed' | 'crashing'): void {
    if (this.#runs.get(run.task) !== run) return
    run.timer.cancel()
    this.#runs.delete(run.task)
    this.#emit({ kind: 'ended', worker: this.id, task: run.task, attempt: run.attempt, how, at: this.#clock.now() })
    if (how !== 'crashed' && how !== 'crashing') this.#ended.push({ sequence: ++this.#lastSequence, task: run.task, attempt: run.attempt, ending: how, checkpoint: '' })
  }
}
