/**
 * A part of a job's progress that is stored by itself.
 */
import type { JobRecord } from './JobRecord.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { Delegation, JobProgress, KnownRun, SuspectedRun } from './types.ts'

/** Tasks of one segment: what is stored of each has some 50 bytes, 150 more with a checkpoint and many failures, 80 more for each worker lost under it, and 120 more for a long-running one's last run. */
export const TASKS_PER_SEGMENT = 100

/** Some tasks of one step. */
type StepTasks = Readonly<{ step: StepRecord, tasks: readonly TaskRecord[] }>

/**
 * The progress of up to `TASKS_PER_SEGMENT` tasks of a job, in the order of occurrences, steps and indexes. It has a bounded size,
 * however many occurrences and tasks the job has. The first segment also stands for the job itself: it is the only one
 * whose phase readers need, and the only one that is stored once the job has ended.
 *
 * @example
 * const { number, progress } = job.segmentOf(task.ordinal)
 */
export class ProgressSegment {
  readonly job: JobRecord
  /** Counts from 0. */
  readonly number: number
  #isEndBeingStored = false

  constructor (job: JobRecord, number: number) {
    this.job = job
    this.number = number
  }

  get isFirst (): boolean {
    return this.number === 0
  }

  /** The state to be made durable; a job that has ended or moves keeps only its phase and its new cell. */
  get progress (): JobProgress {
    const { phase, isFinal, movedTo, isGuest } = this.job
    // The job's own cell still has to learn which of its tasks have failed here.
    if (isFinal && !isGuest) return { ...noProgress(phase), isDivided: true }
    if (movedTo !== undefined) return { ...noProgress(phase), isDivided: true, movedTo }
    const first = this.number * TASKS_PER_SEGMENT
    return { ...collectProgress(phase, this.#stepTasks(), this.job.forgottenSteps(first, first + TASKS_PER_SEGMENT)), isDivided: true }
  }

  /** The progress is about to be stored. */
  startStoring (): void {
    this.#isEndBeingStored = this.isFirst && this.job.isFinal
    for (const { tasks } of this.#stepTasks()) {
      for (const task of tasks) {
        task.recordedCrashes?.startStoring()
        task.delegation?.startStoring(task)
      }
    }
  }

  /** The progress as of the last `startStoring` is durable. */
  markStored (): void {
    if (this.#isEndBeingStored) this.job.isEndStored = true
    for (const { tasks } of this.#stepTasks()) {
      for (const { recordedCrashes, delegation } of tasks) {
        recordedCrashes?.markStored()
        delegation?.markStored()
      }
    }
  }

  * #stepTasks (): Generator<StepTasks> {
    const { tasksPerOccurrence } = this.job
    const first = this.number * TASKS_PER_SEGMENT
    const end = first + TASKS_PER_SEGMENT
    for (let occurrence = Math.floor(first / tasksPerOccurrence); occurrence * tasksPerOccurrence < end; occurrence++) {
      let stepStart = occurrence * tasksPerOccurrence
      const steps = this.job.occurrences.get(occurrence)
      if (steps === undefined && occurrence >= this.job.job.occurrences) return
      for (const step of steps ?? []) {
        const tasks = step.tasks.slice(Math.max(0, first - stepStart), Math.max(0, end - stepStart))
        if (tasks.length > 0) yield { step, tasks }
        stepStart += step.tasks.length
      }
    }
  }
}

/**
 * The progress of some tasks of a job. All tasks of the steps with `doneSteps` as keys are done.
 *
 * @example
 * collectProgress('active', [{ step, tasks: step.tasks }]).done // { '0.0': [3, 5] }
 */
export const collectProgress = (phase: JobProgress['phase'], stepTasks: Iterable<StepTasks>, doneSteps: Iterable<string> = []): JobProgress => {
  const done: Record<string, readonly number[] | 'all'> = {}
  for (const key of doneSteps) done[key] = 'all'
  const started: Record<string, readonly number[] | 'all'> = {}
  const failed: Record<string, readonly number[]> = {}
  const checkpoints: Record<string, string> = {}
  const crashed: Record<string, readonly number[]> = {}
  const crashedOn: Record<string, readonly SuspectedRun[]> = {}
  const knownRuns: Record<string, KnownRun> = {}
  const delegations: Record<string, Delegation> = {}
  for (const { step, tasks } of stepTasks) {
    if (step.isDone) done[step.key] = 'all'
    else if (tasks.some(task => task.isDone)) done[step.key] = indexesOf(tasks.filter(task => task.isDone))
    if (step.shape.isLasting) {
      const startedTasks = tasks.filter(task => task.hasRun)
      started[step.key] = startedTasks.length === step.tasks.length ? 'all' : indexesOf(startedTasks)
    }
    for (const task of tasks) {
      if (task.delegation !== undefined) delegations[task.progressKey] = task.delegation.current
      if (task.isDone) continue
      if (task.failedAttempts.length > 0) failed[task.progressKey] = [...task.failedAttempts]
      const lost = task.recordedCrashes?.toStore ?? []
      if (lost.length > 0) crashed[task.progressKey] = lost
      const suspected = task.recordedCrashes?.runsToStore ?? []
      if (suspected.length > 0) crashedOn[task.progressKey] = suspected
      const knownRun = task.nextKnownRun ?? task.knownRun
      if (knownRun !== undefined) knownRuns[task.progressKey] = knownRun
      if (task.checkpoint !== '') checkpoints[task.progressKey] = task.checkpoint
    }
  }
  const progress = { phase, done, started, failed, checkpoints, crashed }
  return { ...progress, ...(isEmpty(crashedOn) ? {} : { crashedOn }), ...(isEmpty(knownRuns) ? {} : { knownRuns }), ...(isEmpty(delegations) ? {} : { delegations }) }
}

/**
 * The progress of a job of which nothing but the phase counts.
 *
 * @example
 * noProgress('completed').done // {}
 */
export const noProgress = (phase: JobProgress['phase']): JobProgress => ({ phase, done: {}, failed: {}, checkpoints: {} })

const isEmpty = (record: object): boolean => Object.keys(record).length === 0

const indexesOf = (tasks: readonly TaskRecord[]): readonly number[] => tasks.map(({ index }) => index)
