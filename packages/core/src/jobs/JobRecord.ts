/**
 * A job and the state of its tasks.
 */
import type { CellId, Instant } from '@auburnpin/common'
import { DoneOccurrences } from './DoneOccurrences.ts'
import { collectProgress, noProgress, ProgressSegment, TASKS_PER_SEGMENT } from './ProgressSegment.ts'
import { restoreStep } from './restoreStep.ts'
import { stepKey, StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { expectedMs, taskWork } from './taskWork.ts'
import type { Job, JobPhase, JobProgress } from './types.ts'

/** A job that takes more than this many times its objective is useless to its client; a rule of the clients. */
const MAX_USEFUL_OBJECTIVES = 3

/** State of one job. Occurrences are created when they are due, and their tasks are forgotten once they are done. */
export class JobRecord {
  readonly job: Job
  readonly occurrences = new Map<number, readonly StepRecord[]>()
  #phase: JobPhase = 'queued'
  /** When this process observed the end of the job; `undefined` before. */
  endedAt?: Instant
  /** Whether the job was stored after this term was claimed, so that no earlier owner can have started any of its tasks. */
  readonly isNewInTerm: boolean
  /** The cell that the job moves to; it is not scheduled here any more. */
  movedTo?: CellId
  /** The job's own cell, if this one only runs some of its tasks for it. */
  readonly home: CellId | undefined
  /** Cells that tasks of the job were delegated to. */
  readonly delegates = new Set<CellId>()
  /** Whether the store has the final phase. */
  isEndStored = false
  /** Tasks of one occurrence; at least 1. */
  readonly tasksPerOccurrence: number
  readonly #segments = new Map<number, ProgressSegment>()
  /** Occurrences of which every task is done. */
  readonly done = new DoneOccurrences()
  /** For each step, the duration of the longest chain of steps that starts with it, by the client's estimates, in milliseconds. */
  readonly #remainingMs: readonly number[]
  readonly #objectiveMs: number

  constructor (job: Job, isNewInTerm = false, home?: CellId) {
    this.job = job
    this.home = home
    this.isNewInTerm = isNewInTerm
    this.tasksPerOccurrence = Math.max(1, job.steps.reduce((sum, { taskCount }) => sum + taskCount, 0))
    this.#remainingMs = longestChains(job)
    this.#objectiveMs = job.policy.objectiveMs + job.policy.objectiveFactor * Math.max(0, ...this.#remainingMs)
  }

  /** Whether another cell owns the job, and this one only runs tasks that were delegated to it. */
  get isGuest (): boolean {
    return this.home !== undefined
  }

  /** Milliseconds since 1970 at which an occurrence misses its objective, by the client's estimates. */
  objectiveAt (occurrence: number): number {
    return this.startsAt(occurrence) + this.#objectiveMs
  }

  /** Milliseconds since 1970 after which the result of an occurrence is useless to its client. */
  uselessAfter (occurrence: number): number {
    return this.startsAt(occurrence) + this.#objectiveMs * MAX_USEFUL_OBJECTIVES
  }

  /** Milliseconds that an occurrence may wait in all and still meet its objective. */
  get slackMs (): number {
    return this.#objectiveMs - Math.max(0, ...this.#remainingMs)
  }

  /** Duration of an occurrence from the start of a step to the end, in milliseconds. */
  remainingMs (step: number): number {
    return this.#remainingMs[step] ?? 0
  }

  /** Processor time that an occurrence still needs, by the client's estimates, in thousandths of a core times milliseconds. */
  remainingWork (occurrence: number): number {
    let work = 0
    for (const { shape, doneCount } of this.occurrences.get(occurrence) ?? []) work += (shape.taskCount - doneCount) * taskWork(shape)
    return work
  }

  /** Processor time that one occurrence needs in all, in the same unit. */
  get totalWork (): number {
    return this.job.steps.reduce((work, shape) => work + shape.taskCount * taskWork(shape), 0)
  }

  /** Milliseconds since 1970 from which an occurrence may run. */
  startsAt (occurrence: number): number {
    const { occurrences, firstRunAt, intervalMs, acceptedAt } = this.job
    return occurrences > 0 ? firstRunAt + occurrence * intervalMs : acceptedAt
  }

  get phase (): JobPhase {
    return this.#phase
  }

  get isFinal (): boolean {
    return this.#phase === 'completed' || this.#phase === 'failed' || this.#phase === 'cancelled'
  }

  /** Sets the phase and returns whether it changed. A final phase never changes, and no job returns to `queued`. */
  setPhase (phase: JobPhase): boolean {
    if (this.isFinal || this.#phase === phase || phase === 'queued') return false
    this.#phase = phase
    return true
  }

  /** Creates an occurrence that isn't done, and restores the state of its tasks from the progress. */
  createOccurrence (occurrence: number, progress?: JobProgress): readonly StepRecord[] {
    const existing = this.occurrences.get(occurrence)
    if (existing !== undefined) return existing
    if (this.done.has(occurrence)) return []
    let firstOrdinal = occurrence * this.tasksPerOccurrence
    const steps = this.job.steps.map((shape, number) => {
      const step = new StepRecord(this, occurrence, number, shape, firstOrdinal)
      firstOrdinal += shape.taskCount
      return step
    })
    this.occurrences.set(occurrence, steps)
    if (progress !== undefined) for (const step of steps) restoreStep(step, progress)
    return steps
  }

  /** The task with these numbers, if its occurrence has been created. */
  findTask (occurrence: number, step: number, index: number): TaskRecord | undefined {
    return this.occurrences.get(occurrence)?.[step]?.tasks[index]
  }

  /** Opens each step whose preceding steps are done; of a guest each with a task here, as its home delegates only tasks of open steps. */
  openReadySteps (occurrence: number): void {
    const steps = this.occurrences.get(occurrence)
    if (steps === undefined) return
    for (const step of steps) {
      const isReady = this.isGuest ? step.tasks.some(task => !task.isElsewhere) : step.shape.after.every(before => steps[before]?.isDone === true)
      if (!step.isOpen && isReady) step.open()
    }
    if (steps.every(step => step.isDone)) this.done.add(occurrence)
  }

  /** Forgets the tasks of occurrences that are done and have no runs left. A job without occurrences keeps its own. */
  forgetDoneOccurrences (): void {
    if (this.job.occurrences === 0) return
    for (const [occurrence, steps] of this.occurrences) {
      if (this.done.has(occurrence) && !steps.some(step => step.tasks.some(task => task.runs.length > 0 || task.delegation !== undefined))) this.occurrences.delete(occurrence)
    }
  }

  /** Whether every task of every occurrence is done. */
  get isDone (): boolean {
    return this.done.count >= Math.max(1, this.job.occurrences)
  }

  /** All tasks of the occurrences created so far. */
  * tasks (): Generator<TaskRecord> {
    for (const steps of this.occurrences.values()) {
      for (const step of steps) yield * step.tasks
    }
  }

  /** The occurrences that have been opened or are done. */
  * knownOccurrences (): Generator<number> {
    for (let occurrence = 0; occurrence < Math.max(1, this.job.occurrences); occurrence++) {
      if (this.done.has(occurrence) || this.occurrences.has(occurrence)) yield occurrence
    }
  }

  /** Keys of the steps whose tasks were forgotten as done, of those with an ordinal from `first` to before `end`. */
  * forgottenSteps (first: number, end: number): Generator<string> {
    const { steps, occurrences } = this.job
    for (let occurrence = Math.floor(first / this.tasksPerOccurrence); occurrence < occurrences && occurrence * this.tasksPerOccurrence < end; occurrence++) {
      if (!this.done.has(occurrence) || this.occurrences.has(occurrence)) continue
      let stepStart = occurrence * this.tasksPerOccurrence
      for (const [number, { taskCount }] of steps.entries()) {
        if (stepStart < end && stepStart + taskCount > first) yield stepKey(occurrence, number)
        stepStart += taskCount
      }
    }
  }

  /** The segment that a task's progress is stored in; `ordinal` as in `TaskRecord`. */
  segmentOf (ordinal: number): ProgressSegment {
    const number = Math.floor(ordinal / TASKS_PER_SEGMENT)
    const existing = this.#segments.get(number)
    if (existing !== undefined) return existing
    const segment = new ProgressSegment(this, number)
    this.#segments.set(number, segment)
    return segment
  }

  get firstSegment (): ProgressSegment {
    return this.segmentOf(0)
  }

  /** The segments that were asked for so far. */
  segments (): Iterable<ProgressSegment> {
    return this.#segments.values()
  }

  /** Number of segments that all occurrences have together. */
  get segmentCount (): number {
    return Math.ceil(this.tasksPerOccurrence * Math.max(1, this.job.occurrences) / TASKS_PER_SEGMENT)
  }

  /** The state of all segments together. */
  get progress (): JobProgress {
    if (this.isFinal) return noProgress(this.#phase)
    if (this.movedTo !== undefined) return { ...noProgress(this.#phase), movedTo: this.movedTo }
    return collectProgress(this.#phase, [...this.occurrences.values()].flat().map(step => ({ step, tasks: step.tasks })), this.forgottenSteps(0, this.job.occurrences * this.tasksPerOccurrence))
  }
}

// A step depends only on earlier steps, so iterating from the last step backwards computes each chain once.
const longestChains = ({ steps }: Job): number[] => {
  const remaining = steps.map(expectedMs)
  for (const [number, { after }] of [...steps.entries()].reverse()) {
    for (const before of after) {
      const step = steps[before]
      if (step !== undefined) remaining[before] = Math.max(remaining[before] ?? 0, expectedMs(step) + (remaining[number] ?? 0))
    }
  }
  return remaining
}
