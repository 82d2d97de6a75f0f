/**
 * A job and the state of its tasks.
 */
import { brand, type Attempt, type CellId, type Instant } from '@auburnpin/common'
import { MAX_STORED_CRASHES } from './constants.ts'
import { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { expectedMs, taskWork } from './taskWork.ts'
import type { Job, JobPhase, JobProgress } from './types.ts'

/** A job that takes more than this many times its objective is useless to its client; a rule of the clients. */
const MAX_USEFUL_OBJECTIVES = 3

/** State of one job. Occurrences are created when they are due. */
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
  #doneOccurrences = new Set<number>()
  /** For each step, the duration of the longest chain of steps that starts with it, by the client's estimates, in milliseconds. */
  readonly #remainingMs: readonly number[]
  readonly #objectiveMs: number

  constructor (job: Job, isNewInTerm = false) {
    this.job = job
    this.isNewInTerm = isNewInTerm
    this.#remainingMs = longestChains(job)
    this.#objectiveMs = job.policy.objectiveMs + job.policy.objectiveFactor * Math.max(0, ...this.#remainingMs)
  }

  /** Milliseconds since 1970 at which an occurrence misses its objective, by the client's estimates. */
  objectiveAt (occurrence: number): number {
    return this.#startsAt(occurrence) + this.#objectiveMs
  }

  /** Milliseconds since 1970 after which the result of an occurrence is useless to its client. */
  uselessAfter (occurrence: number): number {
    return this.#startsAt(occurrence) + this.#objectiveMs * MAX_USEFUL_OBJECTIVES
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

  #startsAt (occurrence: number): number {
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

  /** Creates an occurrence and restores the state of its tasks from the progress. */
  createOccurrence (occurrence: number, progress?: JobProgress): readonly StepRecord[] {
    const existing = this.occurrences.get(occurrence)
    if (existing !== undefined) return existing
    const steps = this.job.steps.map((shape, number) => new StepRecord(this, occurrence, number, shape))
    this.occurrences.set(occurrence, steps)
    if (progress !== undefined) for (const step of steps) restoreStep(step, progress)
    return steps
  }

  /** The task with these numbers, if its occurrence has been created. */
  findTask (occurrence: number, step: number, index: number): TaskRecord | undefined {
    return this.occurrences.get(occurrence)?.[step]?.tasks[index]
  }

  /** Opens each step whose preceding steps are done. */
  openReadySteps (occurrence: number): void {
    const steps = this.occurrences.get(occurrence) ?? []
    for (const step of steps) {
      if (!step.isOpen && step.shape.after.every(before => steps[before]?.isDone === true)) step.open()
    }
    if (steps.every(step => step.isDone)) this.#doneOccurrences.add(occurrence)
  }

  /** Whether every task of every occurrence is done. */
  get isDone (): boolean {
    return this.#doneOccurrences.size >= Math.max(1, this.job.occurrences)
  }

  /** All tasks of the occurrences created so far. */
  * tasks (): Generator<TaskRecord> {
    for (const steps of this.occurrences.values()) {
      for (const step of steps) yield * step.tasks
    }
  }

  /** The progress is about to be stored. */
  startStoring (): void {
    for (const { crashes } of this.tasks()) crashes.startStoring()
  }

  /** The progress as of the last `startStoring` is durable. */
  markStored (): void {
    for (const { crashes } of this.tasks()) crashes.markStored()
  }

  /** The state to be made durable; a job that has ended keeps only its phase. */
  get progress (): JobProgress {
    const done: Record<string, readonly number[] | 'all'> = {}
    const started: Record<string, readonly number[] | 'all'> = {}
    const failed: Record<string, readonly number[]> = {}
    const checkpoints: Record<string, string> = {}
    const crashing: TaskRecord[] = []
    if (this.isFinal) return { phase: this.#phase, done, failed, checkpoints }
    if (this.movedTo !== undefined) return { phase: this.#phase, done, failed, checkpoints, movedTo: this.movedTo }
    for (const steps of this.occurrences.values()) {
      for (const step of steps) {
        if (step.isDone) done[step.key] = 'all'
        else if (step.doneCount > 0) done[step.key] = indexesOf(step.tasks.filter(task => task.isDone))
        if (step.shape.isLasting) {
          const startedTasks = step.tasks.filter(task => task.hasRun)
          started[step.key] = startedTasks.length === step.tasks.length ? 'all' : indexesOf(startedTasks)
        }
        for (const task of step.tasks) {
          if (task.isDone) continue
          if (task.failedAttempts.length > 0) failed[task.progressKey] = [...task.failedAttempts]
          if (task.crashes.toStore.length > 0) crashing.push(task)
          if (task.checkpoint !== '') checkpoints[task.progressKey] = task.checkpoint
        }
      }
    }
    return { phase: this.#phase, done, started, failed, checkpoints, crashed: crashesToStore(crashing) }
  }
}

// Those with the most losses matter most.
const crashesToStore = (tasks: readonly TaskRecord[]): Readonly<Record<string, readonly number[]>> => {
  const kept = tasks.length <= MAX_STORED_CRASHES ? tasks : [...tasks].sort((one, other) => other.crashes.count - one.crashes.count).slice(0, MAX_STORED_CRASHES)
  return Object.fromEntries(kept.map(task => [task.progressKey, task.crashes.toStore]))
}

const restoreStep = (step: StepRecord, progress: JobProgress): void => {
  const done = progress.done[step.key]
  const started = progress.started?.[step.key]
  for (const task of step.tasks) {
    if (includes(done, task.index)) step.markDone(task)
    for (const attempt of progress.failed[task.progressKey] ?? []) task.failedAttempts.push(attempt)
    const crashed = progress.crashed?.[task.progressKey]
    if (crashed !== undefined) task.crashes.restore(crashed.map(attempt => brand<Attempt>(attempt)))
    task.checkpoint = progress.checkpoints[task.progressKey] ?? ''
    task.wasOrdered = progress.phase === 'active'
    task.hasRun = started === undefined ? task.wasOrdered : includes(started, task.index)
  }
}

const includes = (indexes: readonly number[] | 'all' | undefined, index: number): boolean => indexes === 'all' || indexes?.includes(index) === true

const indexesOf = (tasks: readonly TaskRecord[]): readonly number[] => tasks.map(({ index }) => index)

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
