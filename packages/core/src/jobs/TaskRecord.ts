/**
 * One task of a job and its runs.
 */
import { brand, type Attempt, type Instant, type WorkerId } from '@auburnpin/common'
import { CRASHES_TO_GIVE_UP } from '../constants.ts'
import { MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS } from './constants.ts'
import type { ServingPressure } from './ServingPressure.ts'
import type { StepRecord } from './StepRecord.ts'
import { TaskCrashes } from './TaskCrashes.ts'
import { nameTask } from './taskName.ts'
import type { TaskDelegation } from './TaskDelegation.ts'
import type { KnownRun, TaskName } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Pace of a run that is not slowed down, in percent. */
export const FULL_PACE = 100

/** Progress of a run in percent, at a reading of the worker's clock. */
export type ProgressSample = Readonly<{ percent: number, clockMs: number }>

/** One run of a task on one worker, from the order to start until it has certainly ended. */
export type RunRecord = {
  readonly task: TaskRecord
  readonly attempt: Attempt
  readonly worker: WorkerRecord
  readonly orderedAt: Instant
  /** Whether another run of the task existed when this one was ordered. */
  readonly isCopy: boolean
  /** Whether the task had a checkpoint when this run was created, so that the run may be shorter than others. */
  readonly isFromCheckpoint: boolean
  /** When the call was sent, which may be after the worker was asked for a report, and the incarnation that it was meant for. */
  sentAt?: Instant
  sentTo?: WorkerRecord
  /** `ordered`: the call is in progress; `unconfirmed`: it did not show whether the run exists; `running`: confirmed by the worker. */
  state: 'ordered' | 'unconfirmed' | 'running'
  /** When the state was last set; a report requested earlier cannot contradict it. */
  since: Instant
  /** Whether the worker's incarnation has listed the run in a report. */
  isReported: boolean
  /** Whether the response to the order was certainly that of the worker's present incarnation. */
  isAnswered: boolean
  /** When the response to the order showed that the run had just started. */
  startedAt?: Instant
  /** The first and the last known progress, with the worker's clock at that time. */
  firstProgress?: ProgressSample
  lastProgress?: ProgressSample
  /** The worker's clock when it first confirmed the run. */
  confirmedAtClockMs?: number
  /** Whether the worker has listed the run for long enough, so that a later loss of the worker isn't due to its start. */
  hasSurvivedStart: boolean
  /** Whether the run was ordered from an earlier incarnation of the worker, which may have been lost because of it. */
  isFromLostIncarnation: boolean
  isStopRequested: boolean
  /** Last reported value: a serving task's tail latency in milliseconds, or the thousandths of a core that any other task uses. */
  reading?: number
  /** Last reported progress in percent; 100 for a long-running task that is ready. */
  progressPercent?: number
  /** When a report last showed a change of progress. */
  progressedAt?: Instant
  /** Pressure on a serving task, derived from its readings. */
  readonly pressure: ServingPressure
  /** Pace at which a filler should run, in percent of full speed, and the pace last ordered. */
  pacePercent: number
  orderedPacePercent: number
  paceOrderSentAt?: Instant
  /** Whether a pace below full speed was ordered, so that its duration and progress say nothing about its like. */
  wasSlowedDown: boolean
  stopOrderSentAt?: Instant
  stopAcceptedAt?: Instant
}

/** How a run ended; `ending` is as in `JobSchedulerObserver.runEnded`. */
export type RunEnd = Readonly<{ attempt: Attempt, ending: string, worker: WorkerId, at: Instant }>

// Most tasks wait, or are done, without any of these.
const NO_RUNS: readonly RunRecord[] = Object.freeze([])
const NO_ATTEMPTS: readonly number[] = Object.freeze([])
const NO_WORKERS: ReadonlySet<WorkerRecord> = new Set()

/** State of one task, its failures and its current runs. */
export class TaskRecord {
  readonly step: StepRecord
  readonly index: number
  /** Number of the task, from 0, among all tasks of all occurrences of its job. */
  readonly ordinal: number
  isDone = false
  /** Whether a run was ordered. */
  wasOrdered = false
  /** Whether a run has started or may have; a long-running task that ran before must be restarted soon. */
  hasRun = false
  checkpoint = ''
  /** The last run of a long-running task. While it is set, another one is ordered only once the store has that as `nextKnownRun`. */
  knownRun?: KnownRun | undefined
  nextKnownRun?: KnownRun | undefined
  /** The end of the last run that ended during this term. */
  lastEnd?: RunEnd
  /** How often a run was stopped to continue on another worker. */
  moves = 0
  /** Set once the task has been delegated, in both cells. */
  delegation?: TaskDelegation
  #name: TaskName | undefined
  #runs = NO_RUNS
  #failedAttempts = NO_ATTEMPTS
  #failedOn = NO_WORKERS
  #crashes: TaskCrashes | undefined
  #lastAttempt = 0
  /** Runs in a row that failed soon after their start. */
  #shortFailures = 0

  constructor (step: StepRecord, index: number, ordinal = index) {
    this.step = step
    this.index = index
    this.ordinal = ordinal
  }

  get name (): TaskName {
    const { job: { job: { id } }, occurrence, number } = this.step
    this.#name ??= nameTask({ job: id, occurrence, step: number, index: this.index })
    return this.#name
  }

  get runs (): readonly RunRecord[] {
    return this.#runs
  }

  addRun (run: RunRecord): void {
    this.#runs = [...this.#runs, run]
  }

  /** Removes a run, or puts another one in its place. */
  removeRun (run: RunRecord, replacement?: RunRecord): void {
    const runs = this.#runs.flatMap(other => other !== run ? [other] : replacement === undefined ? [] : [replacement])
    this.#runs = runs.length === 0 ? NO_RUNS : runs
  }

  /** Attempt numbers of the runs that failed. */
  get failedAttempts (): readonly number[] {
    return this.#failedAttempts
  }

  addFailedAttempt (attempt: number): void {
    if (!this.#failedAttempts.includes(attempt)) this.#failedAttempts = [...this.#failedAttempts, attempt]
  }

  /** Workers on which a run failed or stalled during this term. */
  get failedOn (): ReadonlySet<WorkerRecord> {
    return this.#failedOn
  }

  recordFailureOn (worker: WorkerRecord): void {
    this.#failedOn = new Set([...this.#failedOn, worker])
  }

  /** Workers that were lost just after they had started the task. */
  get crashes (): TaskCrashes {
    this.#crashes ??= new TaskCrashes()
    return this.#crashes
  }

  /** The same; `undefined` if nothing was ever recorded, so that a look at many tasks takes no memory. */
  get recordedCrashes (): TaskCrashes | undefined {
    return this.#crashes
  }

  /** Key of the task within its job's progress. */
  get progressKey (): string {
    return `${this.step.key}.${this.index}`
  }

  /** Whether another cell schedules the task. */
  get isElsewhere (): boolean {
    if (this.delegation === undefined) return this.step.job.isGuest
    return this.delegation.current.cell !== undefined
  }

  /** Whether this is a serving task that has not run yet, which may not use the reserved workers. */
  get isNewServing (): boolean {
    return this.step.shape.latencyTargetMs > 0 && !this.hasRun
  }

  /** Whether this is a long-running task that has run and has no run now. */
  get isInterrupted (): boolean {
    return this.step.shape.isLasting && this.hasRun && this.runs.length === 0
  }

  /** Whether the next loss of a worker may fail the job, so that no other start may be taken for its cause. */
  get isOnTrial (): boolean {
    return (this.#crashes?.count ?? 0) >= CRASHES_TO_GIVE_UP - 1
  }

  /** Records the end of a run, and whether it failed soon after its start. */
  recordEnd (end: RunEnd, hasFailedAtOnce: boolean): void {
    if (end.attempt >= (this.lastEnd?.attempt ?? 0)) this.lastEnd = end
    if (hasFailedAtOnce) this.#shortFailures++
    else if (end.ending === 'failed') this.#shortFailures = 0
  }

  /** Whether the last run that failed did so soon after its start. */
  get hasFailedAtOnce (): boolean {
    return this.#shortFailures > 0
  }

  /** Whether a long-running task may start again. The first restart is immediate; one that keeps failing soon after its start waits longer each time. */
  mayRestart (now: Instant): boolean {
    const delays = this.#shortFailures - 1
    if (this.lastEnd === undefined || delays <= 0) return true
    return now - this.lastEnd.at >= Math.min(MAX_RESTART_DELAY_MS, MIN_RESTART_DELAY_MS * 2 ** (delays - 1))
  }

  /** Attempt number for the next run: above all known ones, and above all that an earlier term can have used. */
  nextAttempt (firstOfTerm: number): Attempt {
    this.#lastAttempt = Math.max(this.#lastAttempt + 1, this.#lastAttemptElsewhere + firstOfTerm)
    this.wasOrdered = true
    return brand<Attempt>(this.#lastAttempt)
  }

  /** Highest attempt number that a run of the task can have so far, in any cell. */
  highestAttempt (firstOfTerm: number): number {
    return Math.max(this.#lastAttempt, this.#lastAttemptElsewhere + firstOfTerm - 1)
  }

  // Terms of different cells have no common order, so the attempts of each stay of the task in a cell start above all earlier ones.
  get #lastAttemptElsewhere (): number {
    return this.delegation?.current.lastAttempt ?? 0
  }

  /** Records an attempt number that a worker reported. */
  recordAttempt (attempt: Attempt): void {
    this.#lastAttempt = Math.max(this.#lastAttempt, attempt)
    this.wasOrdered = true
  }
}
