/**
 * State of one incarnation of a worker, as known to the owner.
 */
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import { FAILURES_TO_QUARANTINE, MAX_ORDER_DELAY_MS, MAX_WORKER_LEASE_MS, MIN_CLOCK_RATE, QUARANTINE_MS, REFUSAL_PAUSE_MS } from './constants.ts'
import { FillerPacing } from './FillerPacing.ts'
import { HeldEnds } from './HeldEnds.ts'
import { InheritedLease } from './InheritedLease.ts'
import { LeaseCalls, type LeaseCall } from './LeaseCalls.ts'
import { leaseExpiry } from './leaseExpiry.ts'
import type { RunRecord } from './TaskRecord.ts'
import type { ClockSample, TaskName, WorkerEntry } from './types.ts'
import type { WorkerEvacuation } from './workerEvacuation.ts'

/** A run whose task is unknown to this owner. */
type UnknownRun = { readonly task: TaskName, readonly attempt: Attempt, stopOrderSentAt?: Instant }

/** Runs, used capacity, lease and failures of one worker. A new incarnation gets a new record. */
export class WorkerRecord {
  #entry: WorkerEntry
  readonly runs = new Map<string, RunRecord>()
  /** Runs of tasks under which other workers were lost, until they have survived their start here. */
  readonly suspects = new Set<RunRecord>()
  /** Reported runs that belong to no known task; they are stopped. */
  readonly unknownRuns = new Map<string, UnknownRun>()
  /** Sequence numbers of the last end applied and of the last end whose effects are durable. */
  appliedEnd = 0
  durableEnd = 0
  /** Sequence number of the last end that has been acknowledged to the worker, so that it may delete it. */
  acknowledgedEnd = 0
  /** Ends that must not be acknowledged yet. */
  readonly heldEnds = new HeldEnds()
  /** Whether an earlier owner used this incarnation. */
  isEarlier = false
  /** Whether the worker is in the list of workers. */
  isListed = true
  /** Whether an earlier incarnation was known to this owner. */
  isReborn = false
  /** Whether this owner may extend the worker's lease: not while the record of the term names the end of the lease. */
  isLeasable = true
  /** Whether the worker's data centre is evacuated, as of the last scheduling pass. */
  evacuation: WorkerEvacuation = 'none'
  /** Whether the worker has reported to this owner and therefore rejects orders of all earlier owners. */
  hasReported = false
  /** Whether ends may be missing from the latest report, so that it doesn't show which other runs have ended. */
  hasUnreportedEnds = false
  /** When the latest report arrived. */
  reportedAt = brand<Instant>(-Infinity)
  /** When the latest report that was compared with the runs was requested. */
  reportRequestedAt = brand<Instant>(-Infinity)
  /** Sets the pace of the fillers on this worker. */
  readonly pacing = new FillerPacing()
  /** Calls with a lease that were meant for this incarnation. */
  readonly leaseCalls = new LeaseCalls()
  processorsUsed = 0
  servingProcessors = 0
  /** Used by long-running tasks, which do not end by themselves. */
  readonly lasting = { processors: 0, memoryMb: 0, accelerators: 0 }
  memoryUsedMb = 0
  acceleratorsUsed = 0
  servingRuns = 0
  fillerRuns = 0
  readonly #knownSince: Instant
  #failedCalls = 0
  #clockSample: ClockSample | undefined
  #hasClockGoneBack = false
  #leasedUntilMs = 0
  #leaseExpiresAt: Instant
  readonly #inheritedLease = new InheritedLease()
  /** When the last call for an earlier incarnation, or of an earlier owner, was sent that may still be carried out. */
  #lastEarlierCallAt = brand<Instant>(-Infinity)
  /** When earlier owners, whose orders this one doesn't know, sent their last call to this or an earlier incarnation. */
  #lastUnknownCallAt = brand<Instant>(-Infinity)
  /** Whether such an order may have started a run here. */
  #mayHaveUnknownRuns = false
  #refusesEarlierCalls = true
  #leaseKnownSince: Instant
  #pausedUntil: Instant
  #quarantinedUntil: Instant
  #consecutiveFailures = 0

  constructor (entry: WorkerEntry, now: Instant, leaseMs: number) {
    this.#entry = entry
    this.#knownSince = now
    this.#pausedUntil = now
    this.#quarantinedUntil = now
    // An earlier owner may have extended the lease just before this term began.
    this.#leaseExpiresAt = leaseExpiry(leaseMs, now)
    this.#leaseKnownSince = now
  }

  get entry (): WorkerEntry {
    return this.#entry
  }

  /** Whether the last call to the worker got no response. */
  get isUnresponsive (): boolean {
    return this.#failedCalls > 0
  }

  /** Whether ends of runs may be missing from the latest report that the worker can still report: it responds, or its lease isn't over. */
  mayReportMoreEnds (now: Instant): boolean {
    return this.hasUnreportedEnds && !(this.isUnresponsive && now >= this.leaseExpiresAt)
  }

  /** Number of calls without a response since the last response. */
  get failedCalls (): number {
    return this.#failedCalls
  }

  /** Applies a newer entry of the same incarnation. */
  update (entry: WorkerEntry): void {
    this.#entry = entry
    this.isListed = true
  }

  /** When all runs on the worker have certainly ended unless the lease is extended, by this process's clock. */
  get leaseExpiresAt (): Instant {
    return brand<Instant>(Math.max(this.#leaseExpiresAt, this.#inheritedLease.expiresAt))
  }

  /** From when on the time until `leaseExpiresAt` counts: the worker's leases last at most that long from this moment. */
  get leaseKnownSince (): Instant {
    return brand<Instant>(Math.max(this.#leaseKnownSince, this.#inheritedLease.knownSince))
  }

  /** The lease that calls for earlier incarnations may have set here. */
  get inheritedLease (): Readonly<Pick<InheritedLease, 'expiresAt' | 'knownSince'>> {
    return this.#inheritedLease
  }

  /** Whether the inherited lease may cover runs, also those that may start soon, for longer than the leases of `leaseMs` that owners extend. */
  needsInheritedLease (leaseMs: number, now: Instant): boolean {
    return this.#inheritedLease.expiresAt > leaseExpiry(leaseMs, now) && this.#mayRun
  }

  get #mayRun (): boolean {
    if (this.runs.size > 0 || this.unknownRuns.size > 0) return true
    if (this.hasReported && this.#refusesEarlierCalls) return this.isListed && !this.isUnresponsive
    return this.#mayHaveUnknownRuns
  }

  /** Whether this incarnation has answered a call with its own epoch, or there is no earlier one, so that it carries out no call for an earlier one. */
  get refusesEarlierCalls (): boolean {
    return this.#refusesEarlierCalls
  }

  /** Records an answer, received at `at`, to a call that was meant for this incarnation. */
  recordOwnAnswer (at: Instant): void {
    this.#refusesEarlierCalls = true
    this.#inheritedLease.endCalls(at)
  }

  /** When the last call was sent that this incarnation or the next one may still carry out; `-Infinity` without one. */
  get lastCallAt (): Instant {
    return brand<Instant>(Math.max(this.leaseCalls.lastSentAt, this.#lastEarlierCallAt))
  }

  /** Records, at `now` and before any call to the worker, when the leases of earlier owners are over, which sent none after `lastCallAt`. */
  restoreLeases (expiresAt: Instant, inheritedExpiresAt: Instant | undefined, lastCallAt: Instant, now: Instant): void {
    this.#leaseExpiresAt = expiresAt
    this.#leaseKnownSince = now
    this.#lastEarlierCallAt = lastCallAt
    this.#lastUnknownCallAt = lastCallAt
    this.#mayHaveUnknownRuns = true
    if (inheritedExpiresAt !== undefined) this.#inheritedLease.extend(inheritedExpiresAt, now)
  }

  /**
   * Whether this incarnation is certainly the one that calls reach now. After a call without a response, or once the
   * worker's clock has gone back, another may have taken its place until the next report says which it is.
   */
  get isIncarnationCertain (): boolean {
    return !this.isUnresponsive && !this.#hasClockGoneBack
  }

  /** Records that a report has shown this incarnation. */
  confirmIncarnation (): void {
    this.#hasClockGoneBack = false
  }

  /** Records a reading of the worker's clock, from a response that was requested at `requestedAt` and received at `at`. */
  recordClock (clockMs: number, requestedAt: Instant, at: Instant): void {
    this.#failedCalls = 0
    if (this.#clockSample !== undefined) {
      const elapsedMs = requestedAt - this.#clockSample.at
      const earliestMs = this.#clockSample.clockMs + (elapsedMs > 0 ? elapsedMs * MIN_CLOCK_RATE : elapsedMs / MIN_CLOCK_RATE)
      if (clockMs < Math.floor(earliestMs)) this.#hasClockGoneBack = true
      // Responses may overtake one another: a reading requested before the latest one arrived may be older.
      if (elapsedMs < 0) return
    }
    this.#clockSample = { clockMs, at }
    // The reading may be of a later incarnation, whose clock has begun anew.
    this.#leasedUntilMs = Math.min(this.#leasedUntilMs, clockMs + MAX_WORKER_LEASE_MS)
    this.#updateLeaseExpiry()
  }

  /**
   * End of a lease of at most `leaseMs` from now, on the worker's clock; `undefined` until a reading of its clock is
   * recorded. The clock may have been slow since, and the next owner waits no longer than for `leaseMs`.
   */
  leaseEnd (leaseMs: number, now: Instant): number | undefined {
    if (this.#clockSample === undefined) return undefined
    return Math.floor(this.#clockSample.clockMs + (now - this.#clockSample.at) * MIN_CLOCK_RATE + leaseMs)
  }

  /** Whether a task on trial has been started here and has not survived its start yet, so that nothing else may start. */
  get hasTrial (): boolean {
    for (const { task } of this.suspects) if (task.isOnTrial) return true
    return false
  }

  /** Whether a run here may still crash the worker by its start. */
  get hasNewRuns (): boolean {
    for (const { hasSurvivedStart } of this.runs.values()) if (!hasSurvivedStart) return true
    return false
  }

  /** Age of the latest reading of the worker's clock, in milliseconds. */
  clockAgeMs (now: Instant): number {
    return this.#clockSample === undefined ? Infinity : now - this.#clockSample.at
  }

  /** Records that a call that extends the lease to `untilMs`, on the worker's clock, is about to be sent. */
  beginLeaseCall (untilMs: number, sentAt: Instant): LeaseCall {
    const call = { sentAt, untilMs }
    this.leaseCalls.begin(call)
    this.extendLease(untilMs)
    return call
  }

  /** Records that a call with this end of the lease is about to be sent. */
  extendLease (untilMs: number): void {
    this.#leasedUntilMs = Math.max(this.#leasedUntilMs, untilMs)
    this.#updateLeaseExpiry()
  }

  /**
   * Records a response, received at `at`, to a call with this end of the lease that may have been sent for an earlier
   * incarnation. Whichever incarnation carried it out, its lease ends at most this much later than the reading of its clock.
   */
  inheritLease (untilMs: number, clockMs: number, at: Instant): void {
    this.#inheritedLease.extend(leaseExpiry(Math.min(untilMs - clockMs, MAX_WORKER_LEASE_MS), at), at)
  }

  /** Records that this incarnation may carry out calls for an earlier one, until it has answered a call of its own. */
  inheritFrom (earlier: WorkerRecord): void {
    this.isReborn = true
    this.#refusesEarlierCalls = false
    this.#lastEarlierCallAt = earlier.lastCallAt
    this.#lastUnknownCallAt = earlier.#lastUnknownCallAt
    this.#mayHaveUnknownRuns = earlier.reportedAt < earlier.#lastUnknownCallAt + MAX_ORDER_DELAY_MS
    this.#inheritedLease.extend(earlier.leaseExpiresAt, earlier.leaseKnownSince)
    this.#inheritedLease.inheritCalls(earlier.lastCallAt)
  }

  #updateLeaseExpiry (): void {
    if (this.#clockSample === undefined || this.#leasedUntilMs === 0) return
    this.#leaseExpiresAt = leaseExpiry(this.#leasedUntilMs - this.#clockSample.clockMs, this.#clockSample.at)
    this.#leaseKnownSince = this.#clockSample.at
  }

  /** Whether new work may be sent to the worker. */
  acceptsWork (now: Instant): boolean {
    return this.acceptsRestarts(now) && this.evacuation === 'none' && !this.isQuarantined(now)
  }

  /** Whether interrupted tasks may be sent to the worker, also while it is quarantined: it may be sound, and they may find no other. */
  acceptsRestarts (now: Instant): boolean {
    // What an unknown run needs is unknown as well, so nothing may start beside it until it has been stopped.
    return this.hasReported && this.refusesEarlierCalls && this.isListed && this.isLeasable && this.evacuation !== 'evacuated' && !this.#entry.isDraining && now >= this.#pausedUntil && !this.isUnresponsive && this.unknownRuns.size === 0
  }

  /** Whether several runs in a row failed here a short time ago, so that the worker may be faulty. */
  isQuarantined (now: Instant): boolean {
    return now < this.#quarantinedUntil
  }

  /** Records that a call got no response; the worker gets no new work until it responds to one. */
  markUnresponsive (): void {
    this.#failedCalls++
  }

  /** Sends the worker no new work for a while. */
  pause (now: Instant): void {
    this.#pausedUntil = brand<Instant>(Math.max(this.#pausedUntil, now + REFUSAL_PAUSE_MS))
  }

  /** Records the result of a run, to distinguish a faulty worker from a faulty job. Returns `true` if the worker is quarantined from now on. */
  recordRunResult (hasFailed: boolean, now: Instant): boolean {
    if (!hasFailed) {
      this.#consecutiveFailures = 0
      return false
    }
    this.#consecutiveFailures++
    if (this.#consecutiveFailures < FAILURES_TO_QUARANTINE) return false
    this.#quarantinedUntil = brand<Instant>(now + QUARANTINE_MS)
    return true
  }

  /** Whether runs are expected here that an order for an earlier incarnation may have started, and no report has shown yet. */
  get hasInheritedRuns (): boolean {
    if (!this.isReborn) return false
    for (const { isReported, orderedAt } of this.runs.values()) if (!isReported && orderedAt < this.#knownSince) return true
    return false
  }

  addRun (run: RunRecord): void {
    this.runs.set(runKey(run.task.name, run.attempt), run)
    if (run.task.crashes.count > 0 && !run.hasSurvivedStart) this.suspects.add(run)
    this.#addUsage(run, 1)
  }

  removeRun (run: RunRecord): void {
    this.suspects.delete(run)
    if (this.runs.delete(runKey(run.task.name, run.attempt))) this.#addUsage(run, -1)
  }

  #addUsage (run: RunRecord, sign: 1 | -1): void {
    const { shape } = run.task.step
    this.memoryUsedMb += sign * shape.memoryMb
    this.acceleratorsUsed += sign * shape.accelerators
    if (shape.isFiller) this.fillerRuns += sign
    else this.processorsUsed += sign * shape.processors
    if (shape.isLasting) {
      this.lasting.processors += sign * shape.processors
      this.lasting.memoryMb += sign * shape.memoryMb
      this.lasting.accelerators += sign * shape.accelerators
    }
    if (shape.latencyTargetMs > 0) {
      this.servingRuns += sign
      this.servingProcessors += sign * shape.processors
    }
  }
}

/** Key of a run among those of its worker. */
export const runKey = (task: TaskName, attempt: number): string => `${task}#${attempt}`
