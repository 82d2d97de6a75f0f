/**
 * A job with all that is known of its tasks.
 */
import type { Instant } from '@auburnpin/common'
import { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { Job, JobPhase, JobProgress, JobStep } from './types.ts'

/** Milliseconds a task is taken to last if the client gave no estimate. */
const UNKNOWN_ESTIMATE_MS = 1_000

/** Milliseconds for which a lasting task counts as work; it has no end, and must not go before what ends soon. */
const LASTING_WORK_MS = 10_000

/** A job that takes more than so many times its objective is of no use; the clients' own rule. */
const USEFUL_OBJECTIVES = 3

/** State of one job. Occurrences come to life when they are due. */
export class JobRecord {
  readonly job: Job
  readonly occurrences = new Map<number, readonly StepRecord[]>()
  #phase: JobPhase = 'queued'
  /** When this process saw the job end; `undefined` while it goes on. */
  finalAt?: Instant
  #doneOccurrences = new Set<number>()
  /** By the client's estimates, how long each step and the longest chain of steps after it take, in milliseconds. */
  readonly #remainingMs: readonly number[]
  readonly #objectiveMs: number

  constructor (job: Job) {
    this.job = job
    this.#remainingMs = remainingChains(job)
    this.#objectiveMs = job.policy.objectiveMs + job.policy.objectiveFactor * Math.max(0, ...this.#remainingMs)
  }

  /** Milliseconds since 1970 at which an occurrence misses its objective, by the client's estimates. */
  objectiveAt (occurrence: number): number {
    return this.#beginsAt(occurrence) + this.#objectiveMs
  }

  /** Milliseconds since 1970 after which an occurrence is of no use to its client. */
  uselessAt (occurrence: number): number {
    return this.#beginsAt(occurrence) + this.#objectiveMs * USEFUL_OBJECTIVES
  }

  /** How long an occurrence still takes from the start of a step on, in milliseconds. */
  remainingMs (step: number): number {
    return this.#remainingMs[step] ?? 0
  }

  /** Processor time that an occurrence still needs, in processor-milliseconds, by the client's estimates. */
  remainingWork (occurrence: number): number {
    let work = 0
    for (const { shape, doneCount } of this.occurrences.get(occurrence) ?? []) {
      const taskMs = shape.isLasting ? LASTING_WORK_MS : expectedMs(shape)
      work += (shape.taskCount - doneCount) * shape.processors * taskMs
    }
    return work
  }

  #beginsAt (occurrence: number): number {
    const { occurrences, firstRunAt, intervalMs, acceptedAt } = this.job
    return occurrences > 0 ? firstRunAt + occurrence * intervalMs : acceptedAt
  }

  get phase (): JobPhase {
    return this.#phase
  }

  get isFinal (): boolean {
    return this.#phase === 'completed' || this.#phase === 'failed' || this.#phase === 'cancelled'
  }

  /** Moves on; a final phase never changes. `true` if it changed. */
  setPhase (phase: JobPhase): boolean {
    if (this.isFinal || this.#phase === phase || phase === 'queued') return false
    this.#phase = phase
    return true
  }

  /** Brings an occurrence to life with the tasks that the progress calls done. */
  begin (occurrence: number, progress?: JobProgress): readonly StepRecord[] {
    const known = this.occurrences.get(occurrence)
    if (known !== undefined) return known
    const steps = this.job.steps.map((shape, number) => new StepRecord(this, occurrence, number, shape))
    this.occurrences.set(occurrence, steps)
    if (progress !== undefined) for (const step of steps) restoreStep(step, progress)
    return steps
  }

  /** The task of that place, if its occurrence has begun. */
  find (occurrence: number, step: number, index: number): TaskRecord | undefined {
    return this.occurrences.get(occurrence)?.[step]?.tasks[index]
  }

  /** Opens each step whose earlier steps are done. */
  openSteps (occurrence: number): void {
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

  /** Every task that has come to life. */
  * tasks (): Generator<TaskRecord> {
    for (const steps of this.occurrences.values()) {
      for (const step of steps) yield * step.tasks
    }
  }

  /** What must outlast this owner. */
  get progress (): JobProgress {
    const done: Record<string, readonly number[] | 'all'> = {}
    const failed: Record<string, readonly number[]> = {}
    const checkpoints: Record<string, string> = {}
    if (this.isFinal) return { phase: this.#phase, done, failed, checkpoints }
    for (const steps of this.occurrences.values()) {
      for (const step of steps) {
        if (step.isDone) done[step.key] = 'all'
        else if (step.doneCount > 0) done[step.key] = step.tasks.filter(task => task.isDone).map(task => task.index)
        for (const task of step.tasks) {
          if (task.isDone) continue
          if (task.failedAttempts.length > 0) failed[task.progressKey] = [...task.failedAttempts]
          if (task.checkpoint !== '') checkpoints[task.progressKey] = task.checkpoint
        }
      }
    }
    return { phase: this.#phase, done, failed, checkpoints }
  }
}

const restoreStep = (step: StepRecord, progress: JobProgress): void => {
  const done = progress.done[step.key]
  for (const task of step.tasks) {
    if (done === 'all' || done?.includes(task.index)) step.finish(task)
    for (const attempt of progress.failed[task.progressKey] ?? []) task.failedAttempts.push(attempt)
    task.checkpoint = progress.checkpoints[task.progressKey] ?? ''
    if (progress.phase === 'active') task.hasRun = true
  }
}

const expectedMs = ({ estimateMs }: JobStep): number => estimateMs > 0 ? estimateMs : UNKNOWN_ESTIMATE_MS

// Steps only follow earlier ones, so the chains are known from the last step backwards.
const remainingChains = ({ steps }: Job): number[] => {
  const remaining = steps.map(expectedMs)
  for (const [number, { after }] of [...steps.entries()].reverse()) {
    for (const before of after) {
      const step = steps[before]
      if (step !== undefined) remaining[before] = Math.max(remaining[before] ?? 0, expectedMs(step) + (remaining[number] ?? 0))
    }
  }
  return remaining
}
