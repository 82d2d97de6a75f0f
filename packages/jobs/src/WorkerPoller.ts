/**
 * Polls one worker for reports and renews its lease while anything runs there.
 */
import { AuburnpinError, Err, InterruptibleSleep, type Clock, type Epoch, type Instant, type Log, type Result, type WorkerId } from '@auburnpin/common'
import type { JobScheduler, WorkerRecord, WorkerReport } from '@auburnpin/core'
import { HELD_ENDS_REPORT_INTERVAL_MS, MAX_CLOCK_AGE_MS, MAX_CONFIRMATION_AGE_MS, PENDING_COMMIT_REPORT_INTERVAL_MS, REPORT_RETRY_DELAY_MS, REPORT_WAIT_MS, SERVING_REPORT_WAIT_MS, SILENCE_WATCH_MS, TICK_INTERVAL_MS, WORKER_LEASE_MS } from './constants.ts'
import type { OwnerLoad } from './OwnerLoad.ts'
import type { WorkerCalls } from './WorkerCalls.ts'

/** What a poller needs from the owner of the cell. */
export abstract class PollerHost {
  /** Whether the term is held, so that orders may be sent. */
  abstract get isHeld (): boolean
  /** The fencing epoch of calls to this incarnation; `undefined` until it is recorded durably, so that the next owner finds it. */
  abstract epochOf (worker: WorkerRecord): Epoch | undefined
  /** Whether the worker's lease may be extended. */
  abstract isLeasable (worker: WorkerRecord): boolean
  /** Whether any worker of the cell has fallen silent a short time ago, so that idle ones may be gone as well. */
  abstract get hasAnyFallenSilent (): boolean
  /** A report of the worker was applied to the scheduler's state. */
  abstract reported (worker: WorkerId): void
  /** The worker has accepted an order or request of a later owner. */
  abstract fenced (worker: WorkerId): void
}

/** Requests reports from one worker, one at a time, and renews its lease with each request. */
export class WorkerPoller {
  readonly #worker: WorkerId
  readonly #scheduler: JobScheduler
  readonly #calls: WorkerCalls
  readonly #clock: Clock
  readonly #log: Log
  readonly #sleep: InterruptibleSleep
  readonly #host: PollerHost
  readonly #load: OwnerLoad
  #confirmation: Promise<boolean> | undefined
  #isStopped = false
  #hasEnded = false
  #failingSince: Instant | undefined

  constructor (worker: WorkerId, scheduler: JobScheduler, calls: WorkerCalls, clock: Clock, log: Log, host: PollerHost, load: OwnerLoad) {
    this.#worker = worker
    this.#scheduler = scheduler
    this.#calls = calls
    this.#clock = clock
    this.#log = log
    this.#sleep = new InterruptibleSleep(clock)
    this.#host = host
    this.#load = load
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
    this.#sleep.wake()
  }

  /** Whether the poller was stopped or its worker was removed; it doesn't notice if the worker is listed again. */
  get hasEnded (): boolean {
    return this.#hasEnded
  }

  /** Ends the wait before the next report, as the worker has new runs or its reported ends have become durable. */
  wake (): void {
    this.#sleep.wake()
  }

  /** Requests a report at once, even if another request is still waiting. */
  reportNow (): void {
    const worker = this.#scheduler.workers.get(this.#worker)
    if (worker !== undefined && this.#mayPoll(worker)) this.#report(worker, 0).catch((thrown: unknown) => this.#logUnexpected(thrown))
  }

  /** Whether reports have been failing for a long time, so that idle workers that went with it have been noticed. */
  get hasBeenSilentForLong (): boolean {
    return this.#failingSince !== undefined && this.#clock.now() - this.#failingSince >= SILENCE_WATCH_MS
  }

  /** Whether the worker is there and still the same incarnation; it is asked unless it has answered a call just now. */
  async confirm (worker: WorkerRecord): Promise<boolean> {
    if (worker.isIncarnationCertain && worker.clockAgeMs(this.#clock.now()) < MAX_CONFIRMATION_AGE_MS) return true
    this.#confirmation ??= this.#askForReport(worker).finally(() => { this.#confirmation = undefined })
    return await this.#confirmation && this.#scheduler.workers.get(this.#worker) === worker
  }

  // Without an extension of the lease, which a reborn worker would read on its own clock.
  async #askForReport (worker: WorkerRecord): Promise<boolean> {
    try {
      return (await this.#report(worker, 0, false)).ok
    } catch (thrown) {
      this.#logUnexpected(thrown)
      return false
    }
  }

  #logUnexpected (thrown: unknown): void {
    this.#log.error('A report could not be applied', { worker: this.#worker, error: String(thrown) })
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const worker = this.#scheduler.workers.get(this.#worker)
      if (worker === undefined) break
      try {
        await this.#poll(worker)
      } catch (thrown) {
        // Without further reports the lease of the worker would expire.
        this.#logUnexpected(thrown)
        await this.#clock.sleep(REPORT_RETRY_DELAY_MS)
      }
    }
    this.#hasEnded = true
  }

  async #poll (worker: WorkerRecord): Promise<void> {
    if (!this.#mayPoll(worker)) {
      await this.#sleep.sleep(TICK_INTERVAL_MS)
      return
    }
    if (!needsReport(worker, this.#clock.now(), this.#host.hasAnyFallenSilent ? REPORT_WAIT_MS : MAX_CLOCK_AGE_MS)) {
      await this.#sleep.sleep(REPORT_WAIT_MS)
      return
    }
    const areEndsAcknowledgeable = worker.appliedEnd <= acknowledgeableEnd(worker, this.#clock.now())
    // Without an extension of the lease the report is wanted at once: it shows that the worker is back, or the next one extends the lease.
    const mayWait = areEndsAcknowledgeable && this.#failingSince === undefined && worker.runs.size > 0 && !worker.hasInheritedRuns && worker.isIncarnationCertain && worker.refusesEarlierCalls && this.#mayExtendLease(worker)
    const outcome = await this.#report(worker, mayWait ? reportWaitMs(worker) : 0)
    if (outcome.err) await this.#clock.sleep(REPORT_RETRY_DELAY_MS)
    else await this.#waitBetweenReports(worker)
  }

  #mayPoll (worker: WorkerRecord): boolean {
    return this.#host.isHeld && this.#host.epochOf(worker) !== undefined
  }

  // The lease of a worker that does not respond isn't renewed: the worker may be lost, and then its lease must expire; it may also execute this call late.
  #mayExtendLease (worker: WorkerRecord): boolean {
    return this.#host.isHeld && !worker.isUnresponsive && this.#host.isLeasable(worker)
  }

  // A worker reports ends again until they are acknowledged, so the next request waits until they are durable, or until the lease may be extended.
  async #waitBetweenReports (worker: WorkerRecord): Promise<void> {
    await this.#clock.sleep(this.#load.reportIntervalMs)
    if (worker.appliedEnd > worker.durableEnd || (worker.runs.size > 0 && !this.#mayExtendLease(worker))) await this.#sleep.sleep(PENDING_COMMIT_REPORT_INTERVAL_MS)
    else if (worker.appliedEnd > acknowledgeableEnd(worker, this.#clock.now())) await this.#clock.sleep(HELD_ENDS_REPORT_INTERVAL_MS)
  }

  async #report (worker: WorkerRecord, waitMs: number, isLeasing = true): Promise<Result<WorkerReport, AuburnpinError>> {
    const epoch = this.#host.epochOf(worker)
    if (epoch === undefined) return Err(new AuburnpinError('unreachable', `Worker ${this.#worker} is not recorded`, 'It is called once it is recorded.'))
    const requestedAt = this.#clock.now()
    const leaseEndMs = isLeasing && worker.runs.size > 0 && this.#mayExtendLease(worker) ? worker.leaseEnd(WORKER_LEASE_MS, requestedAt) : undefined
    const leaseCall = leaseEndMs === undefined ? undefined : worker.beginLeaseCall(leaseEndMs, requestedAt)
    // A later incarnation counts its ends from 1 and would forget those up to this number, which nobody has read. So it is sent until it is answered, and no longer.
    const lastEnd = acknowledgeableEnd(worker, requestedAt)
    const acknowledgedEnd = worker.isIncarnationCertain && lastEnd > worker.acknowledgedEnd ? lastEnd : 0
    const outcome = await this.#calls.report(worker.entry, { epoch, acknowledgedEnd, leaseEndMs, waitMs })
    if (leaseCall !== undefined) worker.leaseCalls.end(leaseCall, outcome.ok)
    if (this.#isStopped) return outcome
    this.#logStateChange(outcome, worker, leaseEndMs)
    if (outcome.err) {
      worker.markUnresponsive()
      // A later incarnation refuses calls for an earlier one as well.
      if (outcome.val.kind === 'fenced' && this.#scheduler.workers.get(this.#worker) === worker) this.#host.fenced(this.#worker)
      return outcome
    }
    worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, acknowledgedEnd)
    this.#scheduler.applyReport(this.#worker, outcome.val, requestedAt, this.#clock.now())
    const current = this.#scheduler.workers.get(this.#worker)
    if (outcome.val.incarnation === worker.entry.incarnation) worker.recordOwnAnswer(this.#clock.now())
    // A reborn worker has read the end of the lease on its own clock, although it was meant for its earlier incarnation's.
    if (leaseEndMs !== undefined && current !== worker && current?.refusesEarlierCalls === false) current.inheritLease(leaseEndMs, outcome.val.clockMs, this.#clock.now())
    this.#host.reported(this.#worker)
    return outcome
  }

  #logStateChange (outcome: Result<WorkerReport, AuburnpinError>, { entry: { incarnation } }: WorkerRecord, leaseEndMs: number | undefined): void {
    if (outcome.err === (this.#failingSince !== undefined)) return
    this.#failingSince = outcome.err ? this.#clock.now() : undefined
    if (outcome.err) this.#log.warn('Worker does not report', { worker: this.#worker, incarnation, leaseEndMs, error: outcome.val.message })
    else this.#log.info('Worker reports', { worker: this.#worker, incarnation: outcome.val.incarnation, running: outcome.val.running.length, ended: outcome.val.ended.length, mayHaveMoreEnds: outcome.val.mayHaveMoreEnds === true })
  }
}

// Serving tasks report their tail latency more often, also before a filler is placed beside them.
const reportWaitMs = (worker: WorkerRecord): number => worker.servingRuns > 0 ? SERVING_REPORT_WAIT_MS : REPORT_WAIT_MS

// Ends whose effects are durable, unless a task may still be started once more on the worker.
const acknowledgeableEnd = (worker: WorkerRecord, now: Instant): number => worker.heldEnds.limit(worker.durableEnd, now)

// An idle worker needs no lease, and each report takes processor time on both sides.
const needsReport = (worker: WorkerRecord, now: Instant, maxIdleMs: number): boolean =>
  !worker.hasReported || !worker.refusesEarlierCalls || worker.runs.size > 0 || worker.isUnresponsive || worker.unknownRuns.size > 0 || acknowledgeableEnd(worker, now) > worker.acknowledgedEnd || worker.appliedEnd > worker.durableEnd || worker.clockAgeMs(now) >= maxIdleMs
