/**
 * Scheduling of jobs by the owner of a cell: the state of its jobs and workers, and the orders that follow.
 */
import { assertNever, type CellId, type Epoch, type Instant, type JobId, type WorkerId } from '@auburnpin/common'
import type { AdmissionForecast } from './AdmissionForecast.ts'
import { AnnouncedStarts } from './AnnouncedStarts.ts'
import { ATTEMPTS_PER_TERM, MAX_ORDER_DELAY_MS, MIN_RESTART_MS, RESERVED_WORKER_SHARE } from './constants.ts'
import { CopyInterval } from './CopyInterval.ts'
import { CrashDetector } from './CrashDetector.ts'
import { countQueuedJobs } from './countQueuedJobs.ts'
import { createRun } from './createRun.ts'
import { DelayScheduling } from './DelayScheduling.ts'
import { FillerInterference } from './FillerInterference.ts'
import { findInterruptions } from './findInterruptions.ts'
import { finishedJobs } from './finishedJobs.ts'
import { HeldWorkers } from './HeldWorkers.ts'
import type { Interruption } from './Interruption.ts'
import { JobRecord } from './JobRecord.ts'
import type { JobSchedulerObserver } from './JobSchedulerObserver.ts'
import { isShortRun } from './isShortRun.ts'
import { LateStarts } from './LateStarts.ts'
import { LearntDurations } from './LearntDurations.ts'
import { availableProcessors, loadPercent } from './loadPercent.ts'
import { moveRun } from './moveRun.ts'
import { isOccurrenceDone, occurrencesWithProgress } from './occurrencesWithProgress.ts'
import { openableOccurrences } from './openableOccurrences.ts'
import { paceOrders } from './paceOrders.ts'
import { MAX_SPECULATIVE_RUNS } from './placeCopies.ts'
import { placeTasks } from './placeTasks.ts'
import type { PlacingSettings } from './PlacingContext.ts'
import type { ProgressSegment } from './ProgressSegment.ts'
import { recordDuration } from './recordDuration.ts'
import { recordKnownRun } from './recordKnownRun.ts'
import { recordProgress } from './recordProgress.ts'
import { SchedulerCrashHost } from './SchedulerCrashHost.ts'
import { SchedulerDelegationHost } from './SchedulerDelegationHost.ts'
import { SizeFairness } from './SizeFairness.ts'
import { recordStarted } from './recordStarted.ts'
import { startOrder } from './startOrder.ts'
import type { StepRecord } from './StepRecord.ts'
import { stopOrders } from './stopOrders.ts'
import { stopStalledRuns } from './stopStalledRuns.ts'
import { TakeoverReconciliation, type RecordedLease } from './TakeoverReconciliation.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import { TaskDelegations } from './TaskDelegations.ts'
import { parseTaskName } from './taskName.ts'
import type {
  Job, JobProgress, LeaseSettings, ReportedEnd, ReportedRun, RunOrder, StartOutcome, TaskName, WorkerEntry, WorkerReport
} from './types.ts'
import { UnstoredProgress } from './UnstoredProgress.ts'
import { untouchedJobs } from './untouchedJobs.ts'
import { WaitingSteps } from './WaitingSteps.ts'
import { countEvacuated } from './workerEvacuation.ts'
import { runKey, WorkerRecord } from './WorkerRecord.ts'
import { WorkerReserve } from './WorkerReserve.ts'

/** Stands for an unknown pace, such as that of an earlier owner's run; differs from every real pace, so that an order to set the pace follows. */
const UNKNOWN_PACE = -1

/**
 * Schedules jobs for one term of ownership, without access to a clock, the network or the store: the time is an
 * argument of each call, and `decide` returns the orders to send. No task that an earlier owner may have started is
 * started before each worker that may still run it has reported to this owner or its lease has certainly expired; all
 * leases of earlier owners were extended before the time that the constructor gets.
 *
 * @example
 * const scheduler = new JobScheduler(epoch, { leaseMs: 4_000 }, now, observer)
 * scheduler.addJob(job, now, progress)
 * scheduler.replaceWorkers(entries, now)
 * const orders = scheduler.decide(now, wallTime)
 */
export class JobScheduler {
  readonly jobs = new Map<JobId, JobRecord>()
  readonly workers = new Map<WorkerId, WorkerRecord>()
  readonly #epoch: Epoch
  readonly #firstAttempt: number
  readonly #lease: LeaseSettings
  readonly #observer: JobSchedulerObserver
  readonly #unstored = new UnstoredProgress()
  readonly #openSteps = new Set<StepRecord>()
  readonly #repeating = new Set<JobRecord>()
  /** Jobs cancelled before they were accepted: a submission whose response was lost may still reach the store. */
  readonly #cancelledBeforeAccepted = new Set<JobId>()
  /** Estimates of how much fillers interfere with serving tasks. */
  readonly interference = new FillerInterference()
  /** How long tasks of each queue and image take. */
  readonly durations = new LearntDurations()
  readonly #copyInterval = new CopyInterval()
  readonly #fairness = new SizeFairness()
  readonly #crashDetector: CrashDetector
  readonly #announcedStarts: AnnouncedStarts
  /** Orders to start without an answer, and the tasks that wait because of them. */
  readonly lateStarts: LateStarts
  /** Tasks that this cell has delegated to others, or got from them. */
  readonly delegations: TaskDelegations
  /** Forecast for the admission of new jobs; `undefined` unless it is published. */
  forecast: AdmissionForecast | undefined
  /** Workers held by the last scheduling pass. */
  held = new HeldWorkers(0)
  /** Waits of the open steps. */
  readonly waits = new WaitingSteps()
  readonly reserve: WorkerReserve
  /** Steps whose tasks wait for a rack. */
  readonly delays: DelayScheduling
  readonly #termStartedAt: Instant
  readonly #reconciliation: TakeoverReconciliation
  /** Whether the list of workers has been read, so that an earlier worker that isn't listed has left. */
  #isListRead = false

  constructor (epoch: Epoch, lease: LeaseSettings, now: Instant, observer: JobSchedulerObserver, { delays = new DelayScheduling(), maxReservedShare = RESERVED_WORKER_SHARE }: PlacingSettings = {}) {
    this.#epoch = epoch
    this.#announcedStarts = new AnnouncedStarts(epoch)
    this.#firstAttempt = (epoch - 1) * ATTEMPTS_PER_TERM + 1
    this.#lease = lease
    this.#observer = observer
    this.lateStarts = new LateStarts(observer)
    this.reserve = new WorkerReserve(maxReservedShare)
    this.delays = delays
    this.#crashDetector = new CrashDetector(new SchedulerCrashHost(this))
    this.delegations = new TaskDelegations(new SchedulerDelegationHost(this, this.#firstAttempt, this.#openSteps))
    this.#termStartedAt = now
    this.#reconciliation = new TakeoverReconciliation(lease.leaseMs, now)
  }

  /** Whether all runs of earlier owners are known or have certainly ended, so that tasks may start. */
  get isReconciled (): boolean {
    return this.#reconciliation.isDone
  }

  /** Records that an earlier owner may have used workers that this one doesn't know, so that no task starts before all leases are over. */
  waitForEarlierLeases (): void {
    this.#reconciliation.waitForEarlierLeases()
    this.#crashDetector.earlierWorkerLost()
  }

  /**
   * Adds a job with its durable progress; a job that was added before is unchanged. The tasks of a job that is
   * `isNewInTerm`, stored after the term was claimed, may start while runs of earlier owners are still unknown.
   */
  addJob (job: Job, now: Instant, progress?: JobProgress, isNewInTerm = false): void {
    if (this.jobs.has(job.id)) return
    const record = new JobRecord(job, isNewInTerm)
    this.jobs.set(job.id, record)
    if (progress !== undefined) record.setPhase(progress.phase)
    if (progress?.movedTo !== undefined) {
      record.movedTo = progress.movedTo
      return
    }
    if (this.#cancelledBeforeAccepted.delete(job.id)) this.#endJob(record, 'cancelled', now)
    if (record.isFinal) {
      record.endedAt = now
      record.isEndStored = progress?.phase === record.phase
      return
    }
    const count = Math.max(1, job.occurrences)
    if (job.occurrences > 0) this.#repeating.add(record)
    else this.#createOccurrence(record, 0, now, progress)
    if (job.occurrences > 0 && progress !== undefined) {
      for (const occurrence of occurrencesWithProgress(progress)) {
        if (occurrence >= count) continue
        if (isOccurrenceDone(job, occurrence, progress)) record.done.add(occurrence)
        else this.#createOccurrence(record, occurrence, now, progress)
      }
    }
    if (progress !== undefined && progress.isDivided !== true && record.segmentCount > 1) this.#unstored.addAll(record)
    this.#completeIfDone(record, now)
  }

  #createOccurrence (record: JobRecord, occurrence: number, now: Instant, progress?: JobProgress): void {
    if (record.occurrences.has(occurrence) || record.done.has(occurrence)) return
    const steps = record.createOccurrence(occurrence, progress)
    this.#crashDetector.restore(steps, now)
    this.#reconciliation.tasks.restore(steps)
    this.#fairness.accept(record, occurrence, now)
    this.#openReadySteps(record, occurrence)
  }

  /** Creates an occurrence unless it exists, and opens the steps whose tasks may run. */
  openOccurrence (record: JobRecord, occurrence: number, now: Instant, progress?: JobProgress): void {
    this.#createOccurrence(record, occurrence, now, progress)
    this.#openReadySteps(record, occurrence)
  }

  #openReadySteps (record: JobRecord, occurrence: number): void {
    // A task of an ended job may still finish.
    if (record.isFinal || record.movedTo !== undefined) return
    record.openReadySteps(occurrence)
    for (const step of record.occurrences.get(occurrence) ?? []) {
      if (step.isOpen && !step.isDone) this.#openSteps.add(step)
      else this.#openSteps.delete(step)
    }
  }

  /** Cancels a job and stops its runs. */
  cancel (id: JobId, now: Instant): void {
    const record = this.jobs.get(id)
    if (record === undefined) this.#cancelledBeforeAccepted.add(id)
    else this.#endJob(record, 'cancelled', now)
  }

  #endJob (record: JobRecord, phase: 'completed' | 'failed' | 'cancelled', now: Instant): void {
    if (!record.setPhase(phase)) return
    record.endedAt = now
    this.#unstored.addJob(record)
    this.#repeating.delete(record)
    this.#fairness.remove(record)
    for (const steps of record.occurrences.values()) {
      for (const step of steps) {
        step.waiting.clear()
        this.#openSteps.delete(step)
      }
    }
    for (const task of record.tasks()) for (const run of task.runs) run.isStopRequested = true
    if (!record.isGuest) this.#observer.phaseChanged(record)
  }

  /** Jobs that ended before a moment, have no runs left and whose final phase is not waiting to be written. */
  finishedBefore (moment: Instant, limit: number): readonly JobRecord[] {
    return finishedJobs(this.jobs.values(), this.#unstored, moment, limit)
  }

  /**
   * Jobs that have waited since `before` without a task that was ever started, so that another cell may schedule them
   * instead. Those that wait longest come first.
   */
  untouchedJobs (before: Instant): readonly JobRecord[] {
    return untouchedJobs(this.#openSteps, this.waits, before)
  }

  /** Stops scheduling an untouched job. Once its progress is durable, it may be given to the other cell. */
  withdraw (record: JobRecord, to: CellId): void {
    record.movedTo = to
    for (const steps of record.occurrences.values()) for (const step of steps) this.#openSteps.delete(step)
    this.#fairness.remove(record)
    this.#unstored.addJob(record)
  }

  /** Forgets a cancellation that came before its job, as the job belongs to another cell. Returns whether there was one. */
  takeCancellation (id: JobId): boolean {
    return this.#cancelledBeforeAccepted.delete(id)
  }

  /** The long-running tasks that have been interrupted for at least `minMs`, the longest first. */
  interruptedTasks (minMs: number, now: Instant): Interruption[] {
    return findInterruptions(this.#openSteps, minMs, this.#termStartedAt, now)
  }

  /** Processors of all listed workers, in thousandths of a core. */
  get processors (): number {
    return availableProcessors(this.workers.values())
  }

  /** Processors that running and waiting tasks need, as a percentage of those of all listed workers. */
  get loadPercent (): number {
    return loadPercent(this.workers.values(), this.#openSteps)
  }

  /** Removes a job whose rows have been deleted, or that belongs to another cell. */
  removeJob (id: JobId): void {
    const record = this.jobs.get(id)
    if (record === undefined) return
    this.#unstored.remove(record)
    this.#fairness.remove(record)
    this.delegations.forget(record)
    for (const steps of record.occurrences.values()) for (const step of steps) this.#openSteps.delete(step)
    this.jobs.delete(id)
  }

  /** Replaces the list of workers. A worker that is missing gets no new work; its runs continue until its lease expires. */
  replaceWorkers (entries: readonly WorkerEntry[], now: Instant): void {
    this.#isListRead = true
    for (const worker of this.workers.values()) worker.isListed = false
    for (const entry of entries) this.upsertWorker(entry, now)
  }

  /** Adds or updates a worker; an entry of a new incarnation ends all runs of the previous one. */
  upsertWorker (entry: WorkerEntry, now: Instant): void {
    const existing = this.workers.get(entry.id)
    if (existing === undefined || existing.entry.incarnation < entry.incarnation) {
      const worker = new WorkerRecord(entry, now, this.#lease.leaseMs)
      this.workers.set(entry.id, worker)
      if (existing !== undefined) {
        worker.inheritFrom(existing)
        this.#replaceIncarnation(existing, worker, now)
        this.#observer.workerReborn(worker, existing)
        if (existing.isEarlier && !existing.hasReported) this.#crashDetector.earlierWorkerLost()
      }
      return
    }
    if (existing.entry.incarnation === entry.incarnation) existing.update(entry)
  }

  /** Adds a worker that an earlier owner used, with what is recorded of its leases; it isn't listed until `upsertWorker` gets its entry. */
  restoreWorker (entry: WorkerEntry, now: Instant, lease: RecordedLease = {}): void {
    this.upsertWorker(entry, now)
    this.unlistWorker(entry.id)
    const worker = this.workers.get(entry.id)
    if (worker === undefined) return
    worker.isEarlier = true
    this.#reconciliation.limitLeases(worker, lease, now)
  }

  /** Marks a worker as no longer listed. */
  unlistWorker (id: WorkerId): void {
    const worker = this.workers.get(id)
    if (worker !== undefined) worker.isListed = false
  }

  /** Applies a worker's report that was requested at `requestedAt`. */
  applyReport (id: WorkerId, report: WorkerReport, requestedAt: Instant, now: Instant): void {
    const existing = this.workers.get(id)
    if (existing === undefined || report.incarnation < existing.entry.incarnation) return
    if (report.incarnation > existing.entry.incarnation) {
      this.upsertWorker({ ...existing.entry, incarnation: report.incarnation }, now)
      // The new incarnation may be of another kind, so it gets work once its own entry is known.
      this.unlistWorker(id)
    }
    const worker = this.workers.get(id) as WorkerRecord
    worker.recordClock(report.clockMs, requestedAt, now)
    worker.confirmIncarnation()
    this.#crashDetector.workerReported(worker)
    for (const end of report.ended) {
      if (end.sequence > worker.appliedEnd) this.#applyEnd(worker, end, now)
      worker.appliedEnd = Math.max(worker.appliedEnd, end.sequence)
    }
    // Reports may arrive out of order, and an older one may list runs that have ended since.
    if (requestedAt >= worker.reportRequestedAt) this.#reconcileRuns(worker, report, requestedAt, now)
    worker.hasReported = true
    worker.reportedAt = now
  }

  #reconcileRuns (worker: WorkerRecord, { running, clockMs, mayHaveMoreEnds = false }: WorkerReport, requestedAt: Instant, now: Instant): void {
    worker.reportRequestedAt = requestedAt
    worker.hasUnreportedEnds = mayHaveMoreEnds
    const present = new Set<string>()
    for (const reported of running) {
      const key = runKey(reported.task, reported.attempt)
      present.add(key)
      const task = this.#findTask(reported.task, now)
      const run = worker.runs.get(key)
      if (task !== undefined) this.lateStarts.carriedOut(task, reported.attempt)
      if (run !== undefined) {
        if (run.isFromLostIncarnation) this.#observer.runInherited(run)
        this.#confirmRunning(run, now)
        this.#crashDetector.runReported(run, clockMs)
        recordProgress(run, reported, clockMs, now)
        if (recordKnownRun(run, this.#epoch, this.lateStarts)) this.#unstored.addTask(run.task)
      } else if (task !== undefined) this.#crashDetector.runReported(this.#adoptRun(worker, task, reported, now), clockMs)
      else if (!worker.unknownRuns.has(key)) worker.unknownRuns.set(key, { task: reported.task, attempt: reported.attempt })
      if (task !== undefined && reported.checkpoint !== '') task.checkpoint = reported.checkpoint
    }
    for (const key of worker.unknownRuns.keys()) if (!present.has(key)) worker.unknownRuns.delete(key)
    if (!worker.hasUnreportedEnds) {
      for (const run of [...worker.runs.values()]) if (!present.has(runKey(run.task.name, run.attempt))) this.#handleMissingRun(run, requestedAt, now)
    }
    stopStalledRuns(worker, this.#observer, now)
    worker.pacing.update(worker.runs.values(), this.interference, now)
  }

  // A report requested before the response to the order arrived does not show whether the run exists.
  #handleMissingRun (run: RunRecord, requestedAt: Instant, now: Instant): void {
    if (run.stopAcceptedAt !== undefined && requestedAt > run.stopAcceptedAt) {
      this.#crashDetector.runMissing(run)
      this.#endRun(run, 'not there', now)
      return
    }
    if (requestedAt <= run.since) return
    if (run.state === 'unconfirmed' && !this.lateStarts.repeat(run)) run.isStopRequested = true
    if (run.state !== 'running') return
    this.#crashDetector.runMissing(run)
    this.#endRun(run, 'vanished', now)
  }

  #confirmRunning (run: RunRecord, now: Instant): void {
    if (run.state === 'running') return
    run.state = 'running'
    run.since = now
    this.#recordStart(run.task)
    this.#markJobActive(run.task)
  }

  // That a long-running task has run must last, as a later owner has to restart it before others.
  #recordStart (task: TaskRecord): void {
    if (task.hasRun) return
    task.hasRun = true
    if (task.step.shape.isLasting) this.#unstored.addTask(task)
  }

  #markJobActive (task: TaskRecord): void {
    const { job } = task.step
    if (job.setPhase('active')) {
      this.#unstored.addJob(job)
      this.#observer.phaseChanged(job)
    }
  }

  /** Another cell has started a run of a task that was delegated to it. */
  startedElsewhere (task: TaskRecord): void {
    this.#recordStart(task)
    this.#markJobActive(task)
  }

  /** Another cell reports that a task is done. */
  doneElsewhere (task: TaskRecord, now: Instant): void {
    this.#finishTask(task, now)
  }

  // Takes over a run that an earlier owner started.
  #adoptRun (worker: WorkerRecord, task: TaskRecord, reported: ReportedRun, now: Instant): RunRecord {
    const { attempt } = reported
    task.recordAttempt(attempt)
    this.#recordStart(task)
    const run: RunRecord = { ...createRun(task, attempt, worker, 'running', now), isReported: true, isStopRequested: this.#isRedundant(task), orderedPacePercent: UNKNOWN_PACE, reading: reported.reading, progressPercent: reported.progressPercent }
    this.#addRun(run)
    this.#markJobActive(task)
    if (!this.isReconciled) this.#reconciliation.tasks.add(task)
    return run
  }

  #isRedundant (task: TaskRecord): boolean {
    return task.isDone || task.isElsewhere || task.step.job.isFinal || task.runs.length >= (task.step.shape.isSpeculative ? MAX_SPECULATIVE_RUNS : 1)
  }

  #addRun (run: RunRecord): void {
    run.task.addRun(run)
    run.task.step.waiting.delete(run.task)
    run.worker.addRun(run)
  }

  #findTask (name: TaskName, now: Instant): TaskRecord | undefined {
    const parts = parseTaskName(name)
    if (parts === undefined) return undefined
    const job = this.jobs.get(parts.job)
    if (job === undefined) return undefined
    if (job.job.occurrences > parts.occurrence && !job.isFinal) this.#createOccurrence(job, parts.occurrence, now)
    return job.findTask(parts.occurrence, parts.step, parts.index)
  }

  #applyEnd (worker: WorkerRecord, end: ReportedEnd, now: Instant): void {
    const task = this.#findTask(end.task, now)
    const run = worker.runs.get(runKey(end.task, end.attempt))
    if (task === undefined) return
    task.recordAttempt(end.attempt)
    this.lateStarts.carriedOut(task, end.attempt)
    const acknowledgeableFrom = end.ending === 'done' ? this.lateStarts.acknowledgeableFrom(task, worker) : undefined
    if (acknowledgeableFrom !== undefined) worker.heldEnds.hold(end.sequence, acknowledgeableFrom)
    this.#crashDetector.attemptReported(task, end.attempt)
    this.#recordStart(task)
    const job = task.step.job
    const hasFailed = end.ending === 'failed'
    if (hasFailed) task.recordFailureOn(worker)
    if (end.checkpoint !== '') task.checkpoint = end.checkpoint
    // A long-running task that fails some time after its start, or again and again, says nothing about the worker.
    const isEvidence = end.ending === 'done' || (hasFailed && (!task.step.shape.isLasting || (isShortRun(run, now) && !task.hasFailedAtOnce)))
    if (isEvidence && worker.recordRunResult(hasFailed, now)) this.#observer.workerQuarantined(worker.entry.id, 'several consecutive runs failed')
    if (end.ending === 'done') this.#finishTask(task, now)
    else if (hasFailed && !task.step.shape.isLasting && !task.isDone && !task.failedAttempts.includes(end.attempt)) {
      task.addFailedAttempt(end.attempt)
      this.#unstored.addTask(task)
    }
    if (run !== undefined) this.#endRun(run, end.ending, now)
    else this.#recordEnd(createRun(task, end.attempt, worker, 'running', now), end.ending, now, false)
    if (hasFailed && !task.step.shape.isLasting && task.failedAttempts.length >= job.job.policy.maxAttempts) this.#endJob(job, 'failed', now)
  }

  #finishTask (task: TaskRecord, now: Instant): void {
    const { step } = task
    if (step.shape.isLasting || !step.markDone(task)) return
    for (const run of task.runs) run.isStopRequested = true
    this.#unstored.addTask(task)
    if (step.isDone) this.#openReadySteps(step.job, step.occurrence)
    this.#completeIfDone(step.job, now)
  }

  #completeIfDone (record: JobRecord, now: Instant): void {
    if (!record.isFinal && !record.isGuest && record.isDone) this.#endJob(record, 'completed', now)
  }

  // The run has certainly ended: its resources are free and its task may run again.
  #endRun (run: RunRecord, ending: string, now: Instant): void {
    const { task } = run
    if (ending === 'lease over' && run.state === 'ordered') this.lateStarts.record(run)
    run.worker.removeRun(run)
    this.#crashDetector.runEnded(run)
    task.removeRun(run)
    if (ending === 'done') recordDuration(run, this.durations, now)
    this.#recordEnd(run, ending, now, ending === 'failed' && isShortRun(run, now))
    if (!task.step.job.isFinal && !this.lateStarts.holdBack(task)) task.step.queue(task)
  }

  #recordEnd (run: RunRecord, ending: string, now: Instant, hasFailedAtOnce: boolean): void {
    const worker = run.worker.entry.id
    // An order that was refused is no run.
    if (run.state !== 'ordered') run.task.recordEnd({ attempt: run.attempt, ending, worker, at: now }, hasFailedAtOnce)
    this.#observer.runEnded(run, ending, worker)
  }

  // Runs that the old incarnation has shown to have, by a report or its response to the order, have ended with it. Any
  // other run is kept for the new incarnation, which may have carried out its order or may still do so.
  #replaceIncarnation (old: WorkerRecord, current: WorkerRecord, now: Instant): void {
    this.#crashDetector.workerLost(old, 'reborn', now)
    for (const run of [...old.runs.values()]) {
      const isShown = run.isReported || run.isAnswered
      if (isShown || this.#announcedStarts.has(run)) {
        this.#endRun(run, isShown ? 'reborn' : 'not ordered', now)
        continue
      }
      old.removeRun(run)
      const moved = moveRun(run, current, now)
      run.task.removeRun(run, moved)
      current.addRun(moved)
    }
  }

  #expireRuns (worker: WorkerRecord, now: Instant): void {
    this.#crashDetector.workerLost(worker, 'lease over', now)
    for (const run of [...worker.runs.values()]) this.#endRun(run, 'lease over', now)
  }

  /** Records that the call with an order to start is about to be sent. */
  recordStartSent (id: WorkerId, name: TaskName, attempt: number, now: Instant): void {
    const run = this.workers.get(id)?.runs.get(runKey(name, attempt))
    if (run !== undefined) Object.assign(run, { sentAt: now, sentTo: run.worker })
  }

  /** Records the outcome of an order to start, and the worker's clock if the response has it. Returns `true` if this owner's fencing token is no longer the highest. */
  recordStartOutcome (id: WorkerId, name: TaskName, attempt: number, outcome: StartOutcome, now: Instant, clockMs?: number): boolean {
    const worker = this.workers.get(id)
    const run = worker?.runs.get(runKey(name, attempt))
    if (worker === undefined || run === undefined) return outcome === 'fenced'
    switch (outcome) {
      case 'started':
        this.#confirmRunning(run, now)
        recordStarted(run, now, clockMs)
        run.isAnswered ||= worker.isIncarnationCertain && !run.isFromLostIncarnation && now - (run.sentAt ?? -Infinity) < MIN_RESTART_MS
        return false
      case 'fenced':
        return true
      case 'unknown':
      case 'superseded':
        // The next report shows whether this run exists.
        if (outcome === 'unknown') {
          worker.markUnresponsive()
          // A report may have listed the run meanwhile.
          if (run.state === 'ordered') this.lateStarts.record(run)
        }
        if (run.state === 'ordered') {
          run.state = 'unconfirmed'
          run.since = now
          this.#recordStart(run.task)
        }
        return false
      case 'no-room':
      case 'unavailable':
      case 'reborn':
      case 'too-late':
      case 'invalid':
        if (run.state !== 'ordered') return false
        worker.pause(now)
        // Without a stop, an earlier order for the same run might still be carried out.
        if (this.lateStarts.has(run.task) && outcome !== 'reborn') Object.assign(run, { state: 'unconfirmed', since: now, isStopRequested: true })
        else this.#endRun(run, outcome, now)
        return false
      default:
        return assertNever(outcome, 'outcome of an order to start')
    }
  }

  /**
   * Records that the worker accepted an order to stop. Only the first acceptance counts, however often the order is
   * repeated: from then on the worker never starts that run, and a report requested later shows whether it exists.
   */
  recordStopAccepted (id: WorkerId, name: TaskName, attempt: number, now: Instant): void {
    const run = this.workers.get(id)?.runs.get(runKey(name, attempt))
    if (run !== undefined) run.stopAcceptedAt ??= now
  }

  /** Records that an order to set a pace got no response, so that it is sent again. */
  recordPaceFailure (id: WorkerId, name: TaskName, attempt: number): void {
    const run = this.workers.get(id)?.runs.get(runKey(name, attempt))
    if (run !== undefined) run.orderedPacePercent = UNKNOWN_PACE
  }

  /** Takes at most `limit` segments of progress that must be written; the caller writes them and calls `markStored`, or `markDirty` if the write failed. */
  takeDirty (limit: number): readonly ProgressSegment[] {
    return this.#unstored.take(limit)
  }

  /** Records that segments that were taken are durable. */
  markStored (segments: readonly ProgressSegment[]): void {
    for (const segment of segments) segment.markStored()
  }

  get dirtyCount (): number {
    return this.#unstored.size
  }

  /** Whether ends of runs have been applied whose effects are not durable yet. */
  get hasNonDurableEnds (): boolean {
    for (const worker of this.workers.values()) if (worker.appliedEnd > worker.durableEnd) return true
    return false
  }

  /** Number of jobs in each queue without a started task. */
  countQueuedJobs (): Readonly<Record<string, number>> {
    return countQueuedJobs(this.jobs.values())
  }

  /** Puts back segments that could not be written. */
  markDirty (segments: readonly ProgressSegment[]): void {
    this.#unstored.putBack(segments)
  }

  /**
   * The orders to send now, with at most `maxStarts` starts; tasks beyond that wait for a later pass. `wallTime`, in
   * milliseconds since 1970, determines which occurrences are due.
   */
  decide (now: Instant, wallTime: number, maxStarts = Infinity): RunOrder[] {
    this.#expireLeases(now)
    this.#createDueOccurrences(now, wallTime)
    for (const task of this.lateStarts.release(this.workers, now)) if (!task.step.job.isFinal) task.step.queue(task)
    const orders: RunOrder[] = [...this.lateStarts.takeRepeats(now)]
    for (const worker of this.workers.values()) orders.push(...stopOrders(worker, now), ...paceOrders(worker, now))
    const isReconciled = this.#reconciliation.update(this.workers, now)
    this.#crashDetector.observe(this.workers, now)
    if (maxStarts <= 0) return orders
    const { due, obsolete } = this.#announcedStarts.take(now, maxStarts)
    for (const run of obsolete) this.#endRun(run, 'not ordered', now)
    orders.push(...due.map(startOrder))
    let starts = due.length
    if (starts >= maxStarts) return orders
    const startableSteps = this.#reconciliation.startableSteps(this.#openSteps)
    this.held = new HeldWorkers(this.workers.size - countEvacuated(this.workers.values()))
    this.interference.capacity.startPass()
    const context = { interference: this.interference, held: this.held, fairness: this.#fairness, tasksOnTrial: this.#crashDetector.tasksOnTrial, waits: this.waits, reserve: this.reserve, durations: this.durations, copyInterval: this.#copyInterval, delays: this.delays, now, wallTime }
    for (const { task, worker, lateness, pacePercent } of placeTasks(startableSteps, this.workers.values(), context)) {
      if (!task.wasOrdered) this.#fairness.startTask(task, now)
      if (lateness === undefined) this.forecast?.startTask(task, now)
      const run = createRun(task, task.nextAttempt(this.#firstAttempt), worker, 'ordered', now, pacePercent)
      this.#addRun(run)
      if (lateness === undefined) this.waits.recordPlacement(task)
      else this.#observer.copyStarted(run, lateness)
      if (!this.#crashDetector.mustAnnounce(task) && task.knownRun === undefined) orders.push(startOrder(run))
      else {
        this.#announcedStarts.add(run)
        this.#unstored.addTask(task)
      }
      if (++starts >= maxStarts) break
    }
    this.#reconciliation.tasks.close()
    this.waits.observe(this.#openSteps, now)
    this.reserve.observe(startableSteps, this.workers.values(), now, wallTime)
    if (isReconciled) this.forecast?.observe(startableSteps, this.delays, this.workers.values(), this.#fairness, now, wallTime)
    return orders
  }

  /** A task's progress must be stored. */
  progressChanged (task: TaskRecord): void {
    this.#unstored.addTask(task)
  }

  /** Observes the loss of a worker. */
  workerLost (worker: WorkerId, ending: string, suspects: readonly TaskRecord[]): void {
    this.#observer.workerLost(worker, ending, suspects)
  }

  /** Fails the job of a task that crashes workers. */
  giveUp (task: TaskRecord, now: Instant): void {
    this.#observer.taskGivenUp(task)
    this.failJob(task.step.job, now)
  }

  failJob (record: JobRecord, now: Instant): void {
    this.#endJob(record, 'failed', now)
  }

  #expireLeases (now: Instant): void {
    for (const [id, worker] of this.workers) {
      // A worker that responds reports how its runs ended; one that does not is detected before its lease expires.
      if (worker.runs.size > 0 && now >= worker.leaseExpiresAt && worker.isUnresponsive) this.#expireRuns(worker, now)
      if (worker.isEarlier && !worker.hasReported && now >= worker.leaseExpiresAt) this.#crashDetector.earlierWorkerLost()
      if (this.#isListRead && !worker.isListed && worker.runs.size === 0 && now >= worker.leaseExpiresAt && !worker.mayReportMoreEnds(now) && worker.lastCallAt + MAX_ORDER_DELAY_MS <= now) this.workers.delete(id)
    }
  }

  #createDueOccurrences (now: Instant, wallTime: number): void {
    for (const record of this.#repeating) {
      record.forgetDoneOccurrences()
      for (const occurrence of openableOccurrences(record, wallTime)) this.#createOccurrence(record, occurrence, now)
    }
  }
}
