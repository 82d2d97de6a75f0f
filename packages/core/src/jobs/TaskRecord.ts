/**
 * One task of a job and its runs.
 */
import { brand, type Attempt, type Instant } from '@auburnpin/common'
import type { ServingTail } from './ServingTail.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskName } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Percent of a run's pace without any limit. */
export const FULL_PACE = 100

/** One run of a task on one worker, from its order to its sure end. */
export type RunRecord = {
  readonly task: TaskRecord
  readonly attempt: Attempt
  readonly worker: WorkerRecord
  readonly orderedAt: Instant
  /** `ordered`: no answer yet; `unsure`: the order got no answer; `running`: the worker said so. */
  state: 'ordered' | 'unsure' | 'running'
  /** When the state was last set; a report asked for earlier says nothing about it. */
  since: Instant
  isStopWanted: boolean
  /** As last reported: of a serving task its tail in milliseconds, of any other the thousandths of a core in use. */
  reading?: number
  /** How far it has got, in percent; of a lasting task 100 once it is at work. */
  progressPercent?: number
  /** When a report last showed progress. */
  progressedAt?: Instant
  /** Of a serving task, what its readings tell. */
  readonly tail: ServingTail
  /** Share of its pace that a filler may work at, in percent, and the share last ordered. */
  pacePercent: number
  paceOrdered: number
  paceSentAt?: Instant
  stopSentAt?: Instant
  stopAnsweredAt?: Instant
}

/** A task: done or not, its failures and its live runs. */
export class TaskRecord {
  readonly step: StepRecord
  readonly index: number
  readonly name: TaskName
  readonly runs: RunRecord[] = []
  /** Numbers of the runs that failed. */
  readonly failedAttempts: number[] = []
  /** Workers that it failed on, as far as this owner saw. */
  readonly failedOn = new Set<WorkerRecord>()
  isDone = false
  /** Whether a run of it has been ordered, as far as is known; a lasting task that ran must run again soon. */
  hasRun = false
  checkpoint = ''
  /** How often a run of it was stopped to go on elsewhere. */
  moves = 0
  #lastAttempt = 0

  constructor (step: StepRecord, index: number, name: TaskName) {
    this.step = step
    this.index = index
    this.name = name
  }

  /** Key of the task within its job's progress. */
  get progressKey (): string {
    return `${this.step.key}.${this.index}`
  }

  /** The next run's number: above every run known, and above all that an earlier term can have ordered. */
  nextAttempt (firstOfTerm: number): Attempt {
    this.#lastAttempt = Math.max(this.#lastAttempt + 1, firstOfTerm)
    this.hasRun = true
    return brand<Attempt>(this.#lastAttempt)
  }

  /** Notes a run number that a worker told. */
  noteAttempt (attempt: Attempt): void {
    this.#lastAttempt = Math.max(this.#lastAttempt, attempt)
    this.hasRun = true
  }
}
