/**
 * A worker in memory under the rules that workers keep: leases on their own clock, fencing tokens, run
 * numbers that only rise, ends listed until they are acknowledged.
 */
import { brand, type Attempt, type Clock, type Epoch, type Incarnation, type Timer, type WorkerId } from '@auburnpin/common'
import type { ReportedEnd, ReportedRun, RunEnding, StartOutcome, TaskName, WorkerEntry, WorkerReport } from '@auburnpin/core'
import type { ReportCall, RunName, StartCall } from '@auburnpin/jobs'
import { workerEntryOf } from './jobBuilders.ts'

/** How long a task runs and how it ends there. */
export type FakeRunCourse = Readonly<{ runMs: number, ending: 'done' | 'failed' }>

type Run = { readonly task: TaskName, readonly attempt: Attempt, readonly timer: Timer, readonly startedAt: number, readonly runMs: number }

/** One start or end, for those who watch. `voided`: the lease ran out before anyone took note of the end. */
export type WorkerEvent = Readonly<{ kind: 'started' | 'ended' | 'voided', worker: WorkerId, task: TaskName, attempt: Attempt, how: string, at: number }>

const FAILING: FakeRunCourse = { runMs: 50, ending: 'failed' }

const STALLING: FakeRunCourse = { runMs: 1e9, ending: 'done' }

const HOLD_MAX_MS = 10_000

/** One life after another of one worker. */
export class FakeJobWorker {
  readonly id: WorkerId
  readonly #clock: Clock
  readonly #courses: (task: TaskName) => FakeRunCourse
  readonly #watch: (event: WorkerEvent) => void
  #bornAt: number
  #runs = new Map<TaskName, Run>()
  #ended: ReportedEnd[] = []
  #lastSequence = 0
  #highest = new Map<TaskName, number>()
  #token = 0
  #leaseEndMs = 0
  #lapse: Timer | undefined
  #isFailing = false
  #isStalling = false
  isDead = false
  isDraining = false

  constructor (id: string, clock: Clock, courses: (task: TaskName) => FakeRunCourse, watch: (event: WorkerEvent) => void) {
    this.id = brand<WorkerId>(id)
    this.#clock = clock
    this.#courses = courses
    this.#watch = watch
    this.#bornAt = Math.floor(clock.now())
  }

  get entry (): WorkerEntry {
    return workerEntryOf(this.id, { incarnation: brand<Incarnation>(this.#bornAt + 1), address: this.id, zone: 'derby', isDraining: this.isDraining, memoryMb: 32_000 })
  }

  get running (): readonly TaskName[] {
    return [...this.#runs.keys()]
  }

  get clockMs (): number {
    return this.#clock.now() - this.#bornAt
  }

  /** Whatever starts from now on gets nowhere and never ends. */
  stallAll (): void {
    this.#isStalling = true
  }

  /** Whatever starts from now on fails. */
  failAll (): void {
    this.#isFailing = true
  }

  /** Everything on it ends and nothing is listed. */
  crash (): void {
    this.isDead = true
    for (const run of [...this.#runs.values()]) this.#end(run, 'crashed')
    this.#voidEnds()
    this.#ended = []
  }

  /** Comes back at the same id and address, and knows nothing of before. */
  revive (): void {
    this.isDead = false
    this.#bornAt = Math.floor(this.#clock.now())
    this.#lastSequence = 0
    this.#highest = new Map()
    this.#token = 0
    this.#leaseEndMs = 0
  }

  start ({ task, attempt, leaseEndMs, epoch }: StartCall): StartOutcome {
    if (epoch < this.#token) return 'fenced'
    this.#token = epoch
    this.#extend(leaseEndMs)
    if (this.#runs.get(task)?.attempt === attempt) return 'started'
    if (attempt <= (this.#highest.get(task) ?? 0)) return 'superseded'
    if (leaseEndMs <= this.clockMs) return 'too-late'
    const { runMs, ending } = this.#isFailing ? FAILING : this.#isStalling ? STALLING : this.#courses(task)
    const run: Run = { task, attempt, runMs, startedAt: this.#clock.now(), timer: this.#clock.after(runMs, () => this.#finish(run, ending)) }
    this.#highest.set(task, attempt)
    this.#runs.set(task, run)
    this.#watch({ kind: 'started', worker: this.id, task, attempt, how: '', at: this.#clock.now() })
    return 'started'
  }

  stop ({ task, attempt }: RunName, epoch: Epoch): 'taken' | 'fenced' {
    if (epoch < this.#token) return 'fenced'
    this.#token = epoch
    this.#highest.set(task, Math.max(attempt, this.#highest.get(task) ?? 0))
    const run = this.#runs.get(task)
    if (run?.attempt === attempt) this.#end(run, 'stopped')
    return 'taken'
  }

  report ({ epoch, seenEnd, leaseEndMs }: ReportCall): WorkerReport | 'fenced' {
    if (epoch < this.#token) return 'fenced'
    this.#token = epoch
    this.settleLease()
    if (leaseEndMs !== undefined) this.#extend(leaseEndMs)
    this.#ended = this.#ended.filter(end => end.sequence > seenEnd)
    const running: ReportedRun[] = [...this.#runs.values()].map(({ task, attempt, startedAt, runMs }) =>
      ({ task, attempt, checkpoint: '', progressPercent: Math.floor(100 * (this.#clock.now() - startedAt) / runMs), reading: 0 }))
    return { incarnation: this.entry.incarnation, clockMs: this.clockMs, running, ended: [...this.#ended] }
  }

  hasEndBeyond (seenEnd: number): boolean {
    return this.#lastSequence > seenEnd
  }

  /** Ends the lease if its time is over; a busy machine runs timers late, and it must not be extended or let a run end well. */
  settleLease (): void {
    if (this.#leaseEndMs > 0 && this.clockMs > this.#leaseEndMs) this.#lapseNow()
  }

  #lapseNow (): void {
    this.#lapse?.cancel()
    this.#leaseEndMs = 0
    for (const run of [...this.#runs.values()]) this.#end(run, 'lapsed')
    this.#voidEnds()
  }

  #extend (leaseEndMs: number): void {
    this.settleLease()
    this.#leaseEndMs = Math.max(this.#leaseEndMs, Math.min(leaseEndMs, this.clockMs + HOLD_MAX_MS))
    this.#lapse?.cancel()
    this.#lapse = this.#clock.after(this.#leaseEndMs - this.clockMs, () => this.#lapseNow())
  }

  // Nobody can take note of these ends any more.
  #voidEnds (): void {
    for (const { task, attempt, ending } of this.#ended) this.#watch({ kind: 'voided', worker: this.id, task, attempt, how: ending, at: this.#clock.now() })
  }

  #finish (run: Run, ending: 'done' | 'failed'): void {
    this.settleLease()
    this.#end(run, ending)
  }

  #end (run: Run, how: RunEnding | 'crashed'): void {
    if (this.#runs.get(run.task) !== run) return
    run.timer.cancel()
    this.#runs.delete(run.task)
    this.#watch({ kind: 'ended', worker: this.id, task: run.task, attempt: run.attempt, how, at: this.#clock.now() })
    if (how !== 'crashed') this.#ended.push({ sequence: ++this.#lastSequence, task: run.task, attempt: run.attempt, ending: how, checkpoint: '' })
  }
}
