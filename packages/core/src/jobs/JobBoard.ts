/**
 * The state of all jobs and workers of one owner, and what it orders.
 */
import { assertNever, brand, type Epoch, type Instant, type JobId, type WorkerId } from '@auburnpin/common'
import { ATTEMPTS_PER_TERM, LEASE_MARGIN_MS, SLOWEST_CLOCK } from './constants.ts'
import { createRun } from './createRun.ts'
import { Disturbance } from './Disturbance.ts'
import { JobRecord } from './JobRecord.ts'
import { isStalled } from './isStalled.ts'
import { paceFillers } from './paceFillers.ts'
import { placeTasks } from './placeTasks.ts'
import type { StepRecord } from './StepRecord.ts'
import { stopOrders } from './stopOrders.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import { parseTaskName } from './taskName.ts'
import type {
  Job, JobProgress, LeaseBounds, ReportedEnd, ReportedRun, RunOrder, StartOutcome, TaskName, WorkerEntry, WorkerReport
} from './types.ts'
import { runKey, WorkerRecord } from './WorkerRecord.ts'

/** A run of an earlier owner may work at any pace, so the first order always differs. */
const UNKNOWN_PACE = -1

/** Tells why the board changed what it believes; the shell logs it. */
export abstract class BoardObserver {
  abstract runEnded (run: RunRecord, how: string, worker: WorkerId): void
  abstract runStalled (run: RunRecord, worker: WorkerId): void
  abstract phaseChanged (job: JobRecord): void
  abstract workerJudged (worker: WorkerId, why: string): void
}

/**
 * Decides for one term of ownership, without clock, network or store. Time comes in with each call; orders
 * go out of `decide`. Nothing is ordered before every worker that an earlier owner may have used has
 * reported to this one or its lease is surely over.
 *
 * @example
 * const board = new JobBoard(epoch, { leaseMs: 4_000 }, now, observer)
 * board.accept(job, now, progress)
 * board.listWorkers(entries, now)
 * const orders = board.decide(now, wallTime)
 */
export class JobBoard {
  readonly jobs = new Map<JobId, JobRecord>()
  readonly workers = new Map<WorkerId, WorkerRecord>()
  readonly #firstAttempt: number
  readonly #bounds: LeaseBounds
  readonly #observer: BoardObserver
  readonly #dirty = new Set<JobRecord>()
  readonly #openSteps = new Set<StepRecord>()
  readonly #repeating = new Set<JobRecord>()
  /** Jobs that were cancelled before they became known, as a lost submission may still be stored. */
  readonly #cancelledEarly = new Set<JobId>()
  /** How fillers disturb serving tasks, as far as it has been learnt. */
  readonly disturbance = new Disturbance()
  readonly #oldLeasesOverAt: Instant
  #isOpen = false

  constructor (epoch: Epoch, bounds: LeaseBounds, now: Instant, observer: BoardObserver) {
    this.#firstAttempt = (epoch - 1) * ATTEMPTS_PER_TERM + 1
    this.#bounds = bounds
    this.#observer = observer
    this.#oldLeasesOverAt = brand<Instant>(now + bounds.leaseMs / SLOWEST_CLOCK + LEASE_MARGIN_MS)
  }

  /** Whether every earlier order is known or surely over, so that tasks may start. */
  get isOpen (): boolean {
    return this.#isOpen
  }

  /** Takes a job in, with what is durable of its progress; a job that is known already stays as it is. */
  accept (job: Job, now: Instant, progress?: JobProgress): void {
    if (this.jobs.has(job.id)) return
    const record = new JobRecord(job)
    this.jobs.set(job.id, record)
    if (progress !== undefined) record.setPhase(progress.phase)
    if (this.#cancelledEarly.delete(job.id)) this.#finish(record, 'cancelled', now)
    if (record.isFinal) {
      record.finalAt = now
      return
    }
    const count = Math.max(1, job.occurrences)
    if (job.occurrences > 0) this.#repeating.add(record)
    else this.#begin(record, 0, progress)
    for (let occurrence = 0; job.occurrences > 0 && occurrence < count; occurrence++) {
      if (progress?.done[`${occurrence}.0`] !== undefined) this.#begin(record, occurrence, progress)
    }
    this.#settleJob(record, now)
  }

  #begin (record: JobRecord, occurrence: number, progress?: JobProgress): void {
    if (record.occurrences.has(occurrence)) return
    record.begin(occurrence, progress)
    this.#open(record, occurrence)
  }

  #open (record: JobRecord, occurrence: number): void {
    // A task of a job that is over may still end as done.
    if (record.isFinal) return
    record.openSteps(occurrence)
    for (const step of record.occurrences.get(occurrence) ?? []) {
      if (step.isOpen && !step.isDone) this.#openSteps.add(step)
      else this.#openSteps.delete(step)
    }
  }

  /** Cancels a job; its runs are stopped. */
  cancel (id: JobId, now: Instant): void {
    const record = this.jobs.get(id)
    if (record === undefined) this.#cancelledEarly.add(id)
    else this.#finish(record, 'cancelled', now)
  }

  #finish (record: JobRecord, phase: 'completed' | 'failed' | 'cancelled', now: Instant): void {
    if (!record.setPhase(phase)) return
    record.finalAt = now
    this.#dirty.add(record)
    this.#repeating.delete(record)
    for (const steps of record.occurrences.values()) {
      for (const step of steps) {
        step.waiting.clear()
        this.#openSteps.delete(step)
      }
    }
    for (const task of record.tasks()) for (const run of task.runs) run.isStopWanted = true
    this.#observer.phaseChanged(record)
  }

  /** Jobs that ended before a moment and run nowhere any more. */
  finishedBefore (moment: Instant, limit: number): readonly JobRecord[] {
    const finished: JobRecord[] = []
    for (const record of this.jobs.values()) {
      if (finished.length >= limit) break
      if (record.finalAt === undefined || record.finalAt >= moment || this.#dirty.has(record)) continue
      if (![...record.tasks()].some(task => task.runs.length > 0)) finished.push(record)
    }
    return finished
  }

  /** Drops a job whose rows are gone. */
  forget (id: JobId): void {
    this.jobs.delete(id)
  }

  /** Takes in the list of workers. A worker that is missing gets nothing new, and its runs last as long as its lease. */
  listWorkers (entries: readonly WorkerEntry[], now: Instant): void {
    for (const worker of this.workers.values()) worker.isListed = false
    for (const entry of entries) this.noteWorker(entry, now)
  }

  /** Takes in one worker's entry; an entry of a new life ends all runs of the one before. */
  noteWorker (entry: WorkerEntry, now: Instant): void {
    const known = this.workers.get(entry.id)
    if (known === undefined || known.entry.incarnation < entry.incarnation) {
      const worker = new WorkerRecord(entry, now, this.#bounds.leaseMs)
      this.workers.set(entry.id, worker)
      if (known !== undefined) this.#passOn(known, worker)
      return
    }
    if (known.entry.incarnation === entry.incarnation) known.update(entry)
  }

  /** Notes that a worker's entry is no longer listed. */
  dropWorker (id: WorkerId): void {
    const worker = this.workers.get(id)
    if (worker !== undefined) worker.isListed = false
  }

  /** Takes in a worker's report, asked for at `askedAt`. */
  hear (id: WorkerId, report: WorkerReport, askedAt: Instant, now: Instant): void {
    const known = this.workers.get(id)
    if (known === undefined || report.incarnation < known.entry.incarnation) return
    if (report.incarnation > known.entry.incarnation) this.noteWorker({ ...known.entry, incarnation: report.incarnation }, now)
    const worker = this.workers.get(id) as WorkerRecord
    worker.hear(report.clockMs, now)
    for (const end of report.ended) {
      if (end.sequence > worker.appliedEnd) this.#applyEnd(worker, end, now)
      worker.appliedEnd = Math.max(worker.appliedEnd, end.sequence)
    }
    // Answers may overtake each other; an older one may list runs that have ended since.
    if (askedAt >= worker.reportedAt) this.#compareRuns(worker, report.running, askedAt, now)
    worker.isSwept = true
  }

  #compareRuns (worker: WorkerRecord, running: WorkerReport['running'], askedAt: Instant, now: Instant): void {
    worker.reportedAt = askedAt
    const present = new Set<string>()
    for (const reported of running) {
      const key = runKey(reported.task, reported.attempt)
      present.add(key)
      const task = this.#findTask(reported.task)
      const run = worker.runs.get(key)
      if (run !== undefined) {
        this.#confirm(run, now)
        run.reading = reported.reading
        if (run.progressPercent !== reported.progressPercent || run.progressedAt === undefined) run.progressedAt = now
        run.progressPercent = reported.progressPercent
      } else if (task !== undefined) this.#adopt(worker, task, reported, now)
      else if (!worker.strangers.has(key)) worker.strangers.set(key, { task: reported.task, attempt: reported.attempt })
      if (task !== undefined && reported.checkpoint !== '') task.checkpoint = reported.checkpoint
    }
    for (const key of worker.strangers.keys()) if (!present.has(key)) worker.strangers.delete(key)
    for (const run of [...worker.runs.values()]) {
      if (!present.has(runKey(run.task.name, run.attempt))) this.#missRun(run, askedAt, now)
    }
    this.#moveStalled(worker, now)
    worker.pacing.observe(worker.runs.values(), this.disturbance, now)
  }

  #moveStalled (worker: WorkerRecord, now: Instant): void {
    for (const run of worker.runs.values()) {
      if (!isStalled(run, now)) continue
      run.isStopWanted = true
      run.task.moves++
      run.task.failedOn.add(worker)
      this.#observer.runStalled(run, worker.entry.id)
    }
  }

  // A report asked for before the order's answer came says nothing about the run.
  #missRun (run: RunRecord, askedAt: Instant, now: Instant): void {
    if (run.stopAnsweredAt !== undefined && askedAt > run.stopAnsweredAt) {
      this.#endRun(run, 'not there')
      return
    }
    if (askedAt <= run.since) return
    if (run.state === 'unsure') run.isStopWanted = true
    if (run.state === 'running') this.#endRun(run, 'vanished')
  }

  #confirm (run: RunRecord, now: Instant): void {
    if (run.state === 'running') return
    run.state = 'running'
    run.since = now
    this.#noteBegun(run.task)
  }

  #noteBegun (task: TaskRecord): void {
    const { job } = task.step
    if (job.setPhase('active')) {
      this.#dirty.add(job)
      this.#observer.phaseChanged(job)
    }
  }

  // A run that an earlier owner started.
  #adopt (worker: WorkerRecord, task: TaskRecord, reported: ReportedRun, now: Instant): void {
    const { attempt } = reported
    task.noteAttempt(attempt)
    const run: RunRecord = { ...createRun(task, attempt, worker, 'running', now), isStopWanted: this.#isSuperfluous(task), paceOrdered: UNKNOWN_PACE, reading: reported.reading, progressPercent: reported.progressPercent }
    this.#addRun(run)
    this.#noteBegun(task)
  }

  #isSuperfluous (task: TaskRecord): boolean {
    return task.isDone || task.step.job.isFinal || (task.runs.length > 0 && !task.step.shape.isSpeculative)
  }

  #addRun (run: RunRecord): void {
    run.task.runs.push(run)
    run.task.step.waiting.delete(run.task)
    run.worker.add(run)
  }

  #findTask (name: TaskName): TaskRecord | undefined {
    const place = parseTaskName(name)
    if (place === undefined) return undefined
    const job = this.jobs.get(place.job)
    if (job === undefined) return undefined
    if (job.job.occurrences > place.occurrence && !job.isFinal) this.#begin(job, place.occurrence)
    return job.find(place.occurrence, place.step, place.index)
  }

  #applyEnd (worker: WorkerRecord, end: ReportedEnd, now: Instant): void {
    const task = this.#findTask(end.task)
    const run = worker.runs.get(runKey(end.task, end.attempt))
    if (task === undefined) return
    task.noteAttempt(end.attempt)
    const job = task.step.job
    const hasFailed = end.ending === 'failed'
    if (hasFailed) task.failedOn.add(worker)
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    if ((hasFailed || end.ending === 'done') && worker.judge(hasFailed, now)) this.#observer.workerJudged(worker.entry.id, 'several runs failed one after the other')
    if (end.ending === 'done') this.#finishTask(task, now)
    else if (hasFailed && !task.step.shape.isLasting && !task.isDone && !task.failedAttempts.includes(end.attempt)) {
      task.failedAttempts.push(end.attempt)
      if (!job.isFinal) this.#dirty.add(job)
    }
    if (run !== undefined) this.#endRun(run, end.ending)
    else this.#observer.runEnded(createRun(task, end.attempt, worker, 'running', now), end.ending, worker.entry.id)
    if (hasFailed && !task.step.shape.isLasting && task.failedAttempts.length >= job.job.policy.maxAttempts) this.#finish(job, 'failed', now)
  }

  #finishTask (task: TaskRecord, now: Instant): void {
    const { step } = task
    if (step.shape.isLasting || !step.finish(task)) return
    for (const run of task.runs) run.isStopWanted = true
    if (!step.job.isFinal) this.#dirty.add(step.job)
    if (step.isDone) this.#open(step.job, step.occurrence)
    this.#settleJob(step.job, now)
  }

  #settleJob (record: JobRecord, now: Instant): void {
    if (!record.isFinal && record.isDone) this.#finish(record, 'completed', now)
  }

  // The run is surely over: its room is free and its task may run again.
  #endRun (run: RunRecord, how: string): void {
    const { task } = run
    run.worker.remove(run)
    const index = task.runs.indexOf(run)
    if (index >= 0) task.runs.splice(index, 1)
    this.#observer.runEnded(run, how, run.worker.entry.id)
    if (task.runs.length === 0 && !task.isDone && !task.step.job.isFinal && task.step.isOpen) task.step.waiting.add(task)
  }

  // What ran in the old life is over, but an order without an answer may still reach the new one.
  #passOn (old: WorkerRecord, reborn: WorkerRecord): void {
    for (const run of [...old.runs.values()]) {
      if (run.state === 'running') {
        this.#endRun(run, 'reborn')
        continue
      }
      old.remove(run)
      const passed: RunRecord = { ...run, worker: reborn, stopSentAt: undefined, stopAnsweredAt: undefined }
      run.task.runs.splice(run.task.runs.indexOf(run), 1, passed)
      reborn.add(passed)
    }
  }

  #loseRuns (worker: WorkerRecord, how: string): void {
    for (const run of [...worker.runs.values()]) this.#endRun(run, how)
  }

  /** Takes in the answer to an order to start. `true` if this owner's fencing token is no longer the highest. */
  startAnswered (id: WorkerId, name: TaskName, attempt: number, outcome: StartOutcome, now: Instant): boolean {
    const worker = this.workers.get(id)
    const run = worker?.runs.get(runKey(name, attempt))
    if (worker === undefined || run === undefined) return outcome === 'fenced'
    switch (outcome) {
      case 'started':
        this.#confirm(run, now)
        return false
      case 'fenced':
        return true
      case 'unknown':
      case 'superseded':
        // The next report tells whether this very run is there.
        if (outcome === 'unknown') worker.missAnswer()
        if (run.state === 'ordered') {
          run.state = 'unsure'
          run.since = now
        }
        return false
      case 'no-room':
      case 'unavailable':
      case 'reborn':
      case 'too-late':
      case 'invalid':
        if (run.state !== 'ordered') return false
        worker.pause(now)
        this.#endRun(run, outcome)
        return false
      default:
        return assertNever(outcome, 'outcome of a start')
    }
  }

  /**
   * Notes that the worker has taken an order to stop. The first answer counts: from then on the worker never starts
   * that run, and a report that was asked for later tells whether it is there, however often the order is repeated.
   */
  stopAnswered (id: WorkerId, name: TaskName, attempt: number, now: Instant): void {
    const run = this.workers.get(id)?.runs.get(runKey(name, attempt))
    if (run !== undefined) run.stopAnsweredAt ??= now
  }

  /** Notes that an order of a pace got no answer, so that it is sent again. */
  paceFailed (id: WorkerId, name: TaskName, attempt: number): void {
    const run = this.workers.get(id)?.runs.get(runKey(name, attempt))
    if (run !== undefined) run.paceOrdered = UNKNOWN_PACE
  }

  /** Jobs whose progress must be written; the caller writes them and calls `noteDurable`, or `markDirty` if that failed. */
  takeDirty (limit: number): readonly JobRecord[] {
    const taken: JobRecord[] = []
    for (const job of this.#dirty) {
      if (taken.length >= limit) break
      taken.push(job)
      this.#dirty.delete(job)
    }
    return taken
  }

  get dirtyCount (): number {
    return this.#dirty.size
  }

  /** Whether ends were taken in whose effects aren't durable yet. */
  get hasUnsettledEnds (): boolean {
    for (const worker of this.workers.values()) if (worker.appliedEnd > worker.durableEnd) return true
    return false
  }

  /** Jobs of each queue of which no task has started. */
  countPending (): Readonly<Record<string, number>> {
    const pending: Record<string, number> = {}
    for (const { job, phase } of this.jobs.values()) {
      if (phase === 'queued') pending[job.queue] = (pending[job.queue] ?? 0) + 1
    }
    return pending
  }

  /** Puts jobs back whose progress could not be written. */
  markDirty (jobs: readonly JobRecord[]): void {
    for (const job of jobs) this.#dirty.add(job)
  }

  /** The ends taken in so far, by worker; call it with all dirty jobs taken, and pass it to `noteDurable` after the write. */
  appliedEnds (): ReadonlyMap<WorkerRecord, number> {
    const ends = new Map<WorkerRecord, number>()
    for (const worker of this.workers.values()) if (worker.appliedEnd > worker.durableEnd) ends.set(worker, worker.appliedEnd)
    return ends
  }

  /** Notes that the effects of these ends are durable, so that workers may forget them. */
  noteDurable (ends: ReadonlyMap<WorkerRecord, number>): void {
    for (const [worker, sequence] of ends) worker.durableEnd = Math.max(worker.durableEnd, sequence)
  }

  /**
   * What to order now. `wallTime` is milliseconds since 1970, for occurrences that are due.
   */
  decide (now: Instant, wallTime: number): RunOrder[] {
    this.#expireLeases(now)
    this.#beginDue(wallTime)
    const orders: RunOrder[] = []
    for (const worker of this.workers.values()) orders.push(...stopOrders(worker, now), ...paceFillers(worker, now))
    if (!this.#mayOpen(now)) return orders
    for (const { task, worker } of placeTasks(this.#openSteps, this.workers.values(), this.disturbance, now, wallTime)) {
      const run = createRun(task, task.nextAttempt(this.#firstAttempt), worker, 'ordered', now)
      this.#addRun(run)
      orders.push({
        kind: 'start', worker: worker.entry.id, address: worker.entry.address, task: task.name, attempt: run.attempt, spec: task.step.job.job.spec, checkpoint: task.checkpoint
      })
    }
    return orders
  }

  #expireLeases (now: Instant): void {
    for (const [id, worker] of this.workers) {
      // A worker that may still answer tells how its runs ended; calls that go unanswered show within the lease.
      if (worker.runs.size > 0 && now >= worker.leaseOverAt && worker.isSilent) this.#loseRuns(worker, 'lease over')
      if (!worker.isListed && worker.runs.size === 0 && now >= worker.leaseOverAt) this.workers.delete(id)
    }
  }

  #beginDue (wallTime: number): void {
    for (const record of this.#repeating) {
      const { firstRunAt, intervalMs, occurrences } = record.job
      const due = Math.min(occurrences, Math.floor((wallTime - firstRunAt) / Math.max(1, intervalMs)) + 1)
      for (let occurrence = 0; occurrence < due; occurrence++) this.#begin(record, occurrence)
    }
  }

  // Runs of an earlier owner must be known, or over, before anything is started.
  #mayOpen (now: Instant): boolean {
    if (this.#isOpen) return true
    if (now < this.#oldLeasesOverAt) {
      for (const worker of this.workers.values()) if (!worker.isSwept) return false
    }
    this.#isOpen = true
    return true
  }
}
