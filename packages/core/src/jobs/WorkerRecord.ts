/**
 * What an owner knows of one life of a worker.
 */
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import { FAILURES_TO_QUARANTINE, LEASE_MARGIN_MS, QUARANTINE_MS, REFUSAL_PAUSE_MS, SLOWEST_CLOCK } from './constants.ts'
import { FillerPacing } from './FillerPacing.ts'
import type { RunRecord } from './TaskRecord.ts'
import type { ClockSample, TaskName, WorkerEntry } from './types.ts'

/** A run of no known task. */
type StrangerRun = { readonly task: TaskName, readonly attempt: Attempt, stopSentAt?: Instant }

/** Runs, room, lease and conduct of one worker. A new life gets a new record. */
export class WorkerRecord {
  #entry: WorkerEntry
  readonly runs = new Map<string, RunRecord>()
  /** Runs that it reports and that belong to no known task; they are stopped. */
  readonly strangers = new Map<string, StrangerRun>()
  /** Highest end taken in, and highest end whose effect is durable. */
  appliedEnd = 0
  durableEnd = 0
  /** Highest end that the worker was told to forget. */
  acknowledgedEnd = 0
  /** Whether its entry stands in the list of workers. */
  isListed = true
  /** Whether it has reported to this owner, so that it refuses all earlier ones. */
  isSwept = false
  /** When the newest report that was compared with the runs was asked for. */
  reportedAt = brand<Instant>(-Infinity)
  /** How fast fillers may work here. */
  readonly pacing = new FillerPacing()
  processorsUsed = 0
  servingProcessors = 0
  memoryUsedMb = 0
  acceleratorsUsed = 0
  servingRuns = 0
  fillerRuns = 0
  #isSilent = false
  #sample: ClockSample | undefined
  #leasedUntilMs = 0
  #leaseOverAt: Instant
  #pausedUntil: Instant
  #failuresOnEnd = 0

  constructor (entry: WorkerEntry, now: Instant, leaseMs: number) {
    this.#entry = entry
    this.#pausedUntil = now
    // An earlier owner may have extended the lease just before this one began.
    this.#leaseOverAt = brand<Instant>(now + leaseMs / SLOWEST_CLOCK + LEASE_MARGIN_MS)
  }

  get entry (): WorkerEntry {
    return this.#entry
  }

  /** Whether the last call got no answer. */
  get isSilent (): boolean {
    return this.#isSilent
  }

  /** Takes in a newer entry of the same life. */
  update (entry: WorkerEntry): void {
    this.#entry = entry
    this.isListed = true
  }

  /** When all that runs there has surely ended, unless the lease is extended, by this process's clock. */
  get leaseOverAt (): Instant {
    return this.#leaseOverAt
  }

  /** Notes the worker's clock as read at `at`. */
  hear (clockMs: number, at: Instant): void {
    this.#isSilent = false
    this.#sample = { clockMs, at }
    this.#countLease()
  }

  /** End of a lease of `leaseMs` from now, on the worker's clock; `undefined` before its clock is known. */
  leaseEnd (leaseMs: number, now: Instant): number | undefined {
    if (this.#sample === undefined) return undefined
    return Math.floor(this.#sample.clockMs + (now - this.#sample.at) + leaseMs)
  }

  /** Notes that an order with this end of lease is about to be sent. */
  extend (untilMs: number): void {
    this.#leasedUntilMs = Math.max(this.#leasedUntilMs, untilMs)
    this.#countLease()
  }

  #countLease (): void {
    if (this.#sample === undefined || this.#leasedUntilMs === 0) return
    const leftMs = (this.#leasedUntilMs - this.#sample.clockMs) / SLOWEST_CLOCK
    this.#leaseOverAt = brand<Instant>(this.#sample.at + Math.max(0, leftMs) + LEASE_MARGIN_MS)
  }

  /** Whether new work may be sent to it. */
  canTake (now: Instant): boolean {
    return this.isSwept && this.isListed && !this.#entry.isDraining && now >= this.#pausedUntil && !this.#isSilent
  }

  /** Notes that a call got no answer; it gets no new work until it answers one. */
  missAnswer (): void {
    this.#isSilent = true
  }

  /** Leaves the worker alone for a while, after a refusal. */
  pause (now: Instant, pauseMs = REFUSAL_PAUSE_MS): void {
    this.#pausedUntil = brand<Instant>(Math.max(this.#pausedUntil, now + pauseMs))
  }

  /** Notes how a run ended, to tell a bad worker from a bad job. `true` if it counts as bad from now on. */
  judge (hasFailed: boolean, now: Instant): boolean {
    if (!hasFailed) {
      this.#failuresOnEnd = 0
      return false
    }
    this.#failuresOnEnd++
    if (this.#failuresOnEnd < FAILURES_TO_QUARANTINE) return false
    this.pause(now, QUARANTINE_MS)
    return true
  }

  add (run: RunRecord): void {
    this.runs.set(runKey(run.task.name, run.attempt), run)
    this.#count(run, 1)
  }

  remove (run: RunRecord): void {
    if (this.runs.delete(runKey(run.task.name, run.attempt))) this.#count(run, -1)
  }

  #count (run: RunRecord, sign: 1 | -1): void {
    const { shape } = run.task.step
    this.memoryUsedMb += sign * shape.memoryMb
    this.acceleratorsUsed += sign * shape.accelerators
    if (shape.isFiller) this.fillerRuns += sign
    else this.processorsUsed += sign * shape.processors
    if (shape.latencyTargetMs > 0) {
      this.servingRuns += sign
      this.servingProcessors += sign * shape.processors
    }
  }
}

/** Key of a run among those of its worker. */
export const runKey = (task: TaskName, attempt: number): string => `${task}#${attempt}`
