/**
 * One owner's job scheduler and workers with faults, to which a test sends events one by one.
 */
import { brand, type Attempt, type Epoch, type Incarnation, type Instant } from '@auburnpin/common'
import { jobOf, SilentJobSchedulerObserver, stepOf, workerEntryOf } from '@auburnpin/fakes'
import { appliedEnds, JobScheduler, markEndsDurable, runKey, type ReportedEnd, type RunEnding, type RunOrder, type TaskName, type TaskRecord } from '../../src/index.ts'
import { findTaskPlace } from './findTaskPlace.ts'

const LEASE_MS = 4_500
/** Delay of an order that is carried out late. */
const LATE_MS = 5_500
const CALL_TIMEOUT_MS = 700

type StartOrder = RunOrder & { kind: 'start' }
type Run = Readonly<{ task: TaskName, attempt: Attempt }>

/** What becomes of an order to start. */
export const ORDER_FATES = ['answered', 'answer lost', 'lost', 'late', 'no room', 'unavailable'] as const
export type OrderFate = typeof ORDER_FATES[number]

export const CELL_EVENT_KINDS = ['pass', 'report', 'cut', 'heal', 'crash', 'restart', 'unlist', 'list', 'end', 'cancel'] as const

/** An event, which concerns the worker at an index. */
export type CellEvent = Readonly<{
  kind: typeof CELL_EVENT_KINDS[number]
  worker: number
  afterMs: number
  /** Of the orders of a pass, in turn. */
  fates: readonly OrderFate[]
  ending: RunEnding
  isStored: boolean
}>

/** A worker that keeps the published protocol. */
class FaultyWorker {
  readonly id: string
  incarnation = 1
  bornAt = 0
  isUp = true
  isCutOff = false
  isListed = true
  leasedUntilMs = 0
  runs: Run[] = []
  ends: ReportedEnd[] = []
  /** Highest attempt of each task that is or was here. */
  readonly attempts = new Map<TaskName, number>()
  readonly late: Array<{ order: StartOrder, at: number, incarnation: number }> = []
  #endCount = 0

  constructor (id: string) {
    this.id = id
  }

  isReachable (): boolean {
    return this.isUp && !this.isCutOff
  }

  start (run: Run): void {
    if ((this.attempts.get(run.task) ?? 0) >= run.attempt) return
    this.attempts.set(run.task, run.attempt)
    this.runs.push(run)
  }

  end (run: Run | undefined, ending: RunEnding): void {
    if (run === undefined) return
    this.runs = this.runs.filter(other => other !== run)
    this.ends.push({ sequence: ++this.#endCount, ...run, ending, checkpoint: '' })
  }

  crash (): void {
    this.isUp = false
    this.runs = []
    this.ends = []
    this.#endCount = 0
    this.attempts.clear()
  }

  restart (now: number): void {
    if (this.isUp) return
    this.isUp = true
    this.incarnation++
    this.bornAt = now
    this.leasedUntilMs = 0
  }
}

export class FaultyCell {
  readonly scheduler: JobScheduler
  readonly #workers = [1, 2, 3].map(number => new FaultyWorker(`w${number}`))
  #now = 0

  constructor () {
    this.scheduler = new JobScheduler(brand<Epoch>(1), { leaseMs: LEASE_MS }, this.now, new SilentJobSchedulerObserver())
    this.#list()
    for (const worker of this.#workers) this.#report(worker)
    this.scheduler.addJob(jobOf('00000000000000d1', [stepOf({ taskCount: 3 }), stepOf({ taskCount: 1 })]), this.now)
    this.scheduler.addJob(jobOf('00000000000000d2', [stepOf({ taskCount: 2, isLasting: true, maxPerWorker: 1 })]), this.now)
  }

  get now (): Instant {
    return brand<Instant>(this.#now)
  }

  get tasks (): readonly TaskRecord[] {
    return [...this.scheduler.jobs.values()].flatMap(job => [...job.tasks()])
  }

  /** The tasks that nothing would ever start. */
  get lostTasks (): readonly string[] {
    return this.tasks.filter(task => findTaskPlace(task, this.scheduler) === undefined).map(({ name }) => name)
  }

  /** The tasks that aren't done and that no worker runs. */
  get idleTasks (): readonly string[] {
    const running = new Set(this.#workers.flatMap(({ runs }) => runs.map(({ task }) => task)))
    return this.tasks.filter(({ isDone, name, step: { job } }) => !isDone && !job.isFinal && !running.has(name)).map(({ name }) => name)
  }

  apply ({ kind, worker: index, afterMs, fates, ending, isStored }: CellEvent): void {
    this.#advance(afterMs)
    const worker = this.#workers[index % this.#workers.length] as FaultyWorker
    switch (kind) {
      case 'pass': return this.pass(fates, isStored)
      case 'report': return this.#report(worker)
      case 'cut': worker.isCutOff = true; return
      case 'heal': worker.isCutOff = false; return
      case 'crash': return worker.crash()
      case 'restart': return worker.restart(this.#now)
      case 'unlist': worker.isListed = false; return this.#list()
      case 'list': worker.isListed = true; return this.#list()
      case 'end': return worker.end(worker.runs[0], ending)
      case 'cancel': return this.scheduler.cancel(brand('00000000000000d2'), this.now)
    }
  }

  /** Ends all faults, and goes on for `ms`. */
  recover (ms: number): void {
    for (const worker of this.#workers) {
      worker.isCutOff = false
      worker.isListed = true
      worker.restart(this.#now)
    }
    this.#list()
    for (const until = this.#now + ms; this.#now < until;) {
      this.#advance(100)
      for (const worker of this.#workers) this.#report(worker)
      this.pass([], true)
    }
  }

  pass (fates: readonly OrderFate[], isStored: boolean): void {
    if (isStored) this.scheduler.markStored(this.scheduler.takeDirty(100))
    markEndsDurable(appliedEnds(this.scheduler.workers.values()))
    for (const [index, order] of this.scheduler.decide(this.now, this.#now).entries()) {
      const worker = this.#workers.find(({ id }) => id === order.worker) as FaultyWorker
      if (order.kind === 'start') this.#start(worker, order, fates[index] ?? 'answered')
      else if (order.kind === 'stop' && worker.isReachable()) {
        worker.end(worker.runs.find(run => run.task === order.task && run.attempt === order.attempt), 'stopped')
        worker.attempts.set(order.task, Math.max(worker.attempts.get(order.task) ?? 0, order.attempt))
        this.scheduler.recordStopAccepted(order.worker, order.task, order.attempt, this.now)
      }
    }
  }

  #start (worker: FaultyWorker, order: StartOrder, fate: OrderFate): void {
    const record = this.scheduler.workers.get(order.worker)
    const leaseEndMs = record?.leaseEnd(LEASE_MS, this.now)
    if (record === undefined || leaseEndMs === undefined || record.runs.get(runKey(order.task, order.attempt))?.isStopRequested !== false || fate === 'unavailable') {
      this.scheduler.recordStartOutcome(order.worker, order.task, order.attempt, 'unavailable', this.now)
      return
    }
    const call = record.beginLeaseCall(leaseEndMs, this.now)
    this.scheduler.recordStartSent(order.worker, order.task, order.attempt, this.now)
    const isSame = record.entry.incarnation === worker.incarnation
    const isAnswered = worker.isReachable() && (fate === 'answered' || fate === 'no room')
    if (worker.isReachable() && isSame && fate !== 'lost') {
      if (fate === 'late') worker.late.push({ order, at: this.#now + LATE_MS, incarnation: worker.incarnation })
      else {
        worker.leasedUntilMs = Math.max(worker.leasedUntilMs, leaseEndMs)
        if (fate !== 'no room') worker.start({ task: order.task, attempt: order.attempt })
      }
    }
    record.leaseCalls.end(call, isAnswered)
    if (isAnswered) record.recordClock(this.#now - worker.bornAt, this.now, this.now)
    const outcome = !isAnswered ? 'unknown' : !isSame ? 'reborn' : fate === 'no room' ? 'no-room' : 'started'
    if (!isAnswered) this.#advance(CALL_TIMEOUT_MS)
    this.scheduler.recordStartOutcome(order.worker, order.task, order.attempt, outcome, this.now)
  }

  #report (worker: FaultyWorker): void {
    const id = workerEntryOf(worker.id).id
    const record = this.scheduler.workers.get(id)
    if (record === undefined) return
    if (!worker.isReachable()) return record.markUnresponsive()
    const leaseEndMs = record.runs.size > 0 && !record.isUnresponsive && record.entry.incarnation === worker.incarnation ? record.leaseEnd(LEASE_MS, this.now) : undefined
    if (leaseEndMs !== undefined) {
      record.extendLease(leaseEndMs)
      worker.leasedUntilMs = Math.max(worker.leasedUntilMs, leaseEndMs)
    }
    if (record.entry.incarnation === worker.incarnation) worker.ends = worker.ends.filter(({ sequence }) => sequence > record.heldEnds.limit(record.durableEnd, this.now))
    const running = worker.runs.map(({ task, attempt }) => ({ task, attempt, checkpoint: '', progressPercent: (this.#now / 100) % 100, reading: 0 }))
    this.scheduler.applyReport(id, { incarnation: brand(worker.incarnation), clockMs: this.#now - worker.bornAt, running, ended: worker.ends }, this.now, this.now)
    this.scheduler.workers.get(id)?.recordOwnAnswer(this.now)
  }

  #list (): void {
    this.scheduler.replaceWorkers(this.#workers.filter(({ isListed, isUp }) => isListed && isUp).map(({ id, incarnation }) => workerEntryOf(id, { incarnation: brand<Incarnation>(incarnation) })), this.now)
  }

  #advance (ms: number): void {
    this.#now += ms
    for (const worker of this.#workers) {
      for (const { order, incarnation } of worker.late.filter(({ at }) => at <= this.#now)) {
        if (worker.isUp && incarnation === worker.incarnation) worker.start({ task: order.task, attempt: order.attempt })
      }
      worker.late.splice(0, worker.late.length, ...worker.late.filter(({ at }) => at > this.#now))
      if (this.#now - worker.bornAt >= worker.leasedUntilMs) for (const run of worker.runs) worker.end(run, 'lapsed')
    }
  }
}
