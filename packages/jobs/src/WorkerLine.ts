/**
 * The conversation with one worker: reports and leases as long as anything runs there.
 */
import { Pause, type AuburnpinError, type Clock, type Epoch, type Log, type Result, type WorkerId } from '@auburnpin/common'
import type { JobBoard, WorkerRecord, WorkerReport } from '@auburnpin/core'
import { REPORT_GAP_MS, REPORT_RETRY_MS, REPORT_WAIT_MS, TAIL_REPORT_WAIT_MS, TICK_MS, UNSETTLED_REPORT_MS, WORKER_LEASE_MS } from './constants.ts'
import type { WorkerCalls } from './WorkerCalls.ts'

/** What a line needs from its owner. */
export abstract class LineOwner {
  /** Whether orders may be sent now. */
  abstract get isHeld (): boolean
  /** Whether the next owner would know of this worker. */
  abstract isUsable (worker: WorkerRecord): boolean
  /** Something was learnt: decide again. */
  abstract learnt (): void
  /** The worker has taken orders of a later owner. */
  abstract fenced (worker: WorkerId): void
}

/** Asks one worker for reports, one at a time, and extends its lease with each. */
export class WorkerLine {
  readonly #worker: WorkerId
  readonly #epoch: Epoch
  readonly #board: JobBoard
  readonly #calls: WorkerCalls
  readonly #clock: Clock
  readonly #log: Log
  readonly #pause: Pause
  readonly #owner: LineOwner
  #isStopped = false
  #isSilent = false

  constructor (worker: WorkerId, epoch: Epoch, board: JobBoard, calls: WorkerCalls, clock: Clock, log: Log, owner: LineOwner) {
    this.#worker = worker
    this.#epoch = epoch
    this.#board = board
    this.#calls = calls
    this.#clock = clock
    this.#log = log
    this.#pause = new Pause(clock)
    this.#owner = owner
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
    this.#pause.wake()
  }

  /** Something changed that the next report may wait for. */
  wake (): void {
    this.#pause.wake()
  }

  /** Asks for a report now, beside one that may be waiting. */
  reportNow (): void {
    const worker = this.#board.workers.get(this.#worker)
    if (worker !== undefined && this.#mayAsk(worker)) void this.#report(worker, 0)
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const worker = this.#board.workers.get(this.#worker)
      if (worker === undefined) return
      if (!this.#mayAsk(worker)) {
        await this.#pause.rest(TICK_MS)
        continue
      }
      if (!needsReport(worker)) {
        await this.#pause.rest(REPORT_WAIT_MS)
        continue
      }
      const isSettled = worker.appliedEnd <= worker.durableEnd
      const outcome = await this.#report(worker, isSettled && worker.runs.size > 0 ? waitFor(worker) : 0)
      if (outcome.err) await this.#clock.sleep(REPORT_RETRY_MS)
      else await this.#pace(worker)
    }
  }

  #mayAsk (worker: WorkerRecord): boolean {
    return this.#owner.isHeld && this.#owner.isUsable(worker)
  }

  // Ends that aren't durable would be told again at once, so the next report waits until they are.
  async #pace (worker: WorkerRecord): Promise<void> {
    await this.#clock.sleep(REPORT_GAP_MS)
    if (worker.appliedEnd > worker.durableEnd) await this.#pause.rest(UNSETTLED_REPORT_MS)
  }

  async #report (worker: WorkerRecord, waitMs: number): Promise<Result<WorkerReport, AuburnpinError>> {
    const askedAt = this.#clock.now()
    // A worker that doesn't answer may be gone, and then its lease must run out; it may also carry this call out late.
    const leaseEndMs = worker.runs.size > 0 && !worker.isSilent ? worker.leaseEnd(WORKER_LEASE_MS, askedAt) : undefined
    if (leaseEndMs !== undefined) worker.extend(leaseEndMs)
    const seenEnd = worker.durableEnd
    const outcome = await this.#calls.report(worker.entry, { epoch: this.#epoch, seenEnd, leaseEndMs, waitMs })
    if (this.#isStopped) return outcome
    this.#tellSilence(outcome)
    if (outcome.err) {
      worker.missAnswer()
      if (outcome.val.kind === 'fenced') this.#owner.fenced(this.#worker)
      return outcome
    }
    worker.acknowledgedEnd = Math.max(worker.acknowledgedEnd, seenEnd)
    this.#board.hear(this.#worker, outcome.val, askedAt, this.#clock.now())
    this.#owner.learnt()
    return outcome
  }

  #tellSilence (outcome: Result<WorkerReport, AuburnpinError>): void {
    if (outcome.err === this.#isSilent) return
    this.#isSilent = outcome.err
    if (outcome.err) this.#log.warn('Worker does not report', { worker: this.#worker, error: outcome.val.message })
    else this.#log.info('Worker reports', { worker: this.#worker, incarnation: outcome.val.incarnation, running: outcome.val.running.length })
  }
}

// Tails are watched more closely, also before a filler comes.
const waitFor = (worker: WorkerRecord): number => worker.servingRuns > 0 ? TAIL_REPORT_WAIT_MS : REPORT_WAIT_MS

// An idle worker needs no lease, and each report costs both sides.
const needsReport = (worker: WorkerRecord): boolean =>
  !worker.isSwept || worker.runs.size > 0 || worker.isSilent || worker.strangers.size > 0 || worker.durableEnd > worker.acknowledgedEnd || worker.appliedEnd > worker.durableEnd
