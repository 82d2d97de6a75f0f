/**
 * One step of one occurrence of a job.
 */
import type { JobRecord } from './JobRecord.ts'
import { ServingLoad } from './ServingLoad.ts'
import { TaskRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'

/** Key of a step within its job's progress. */
export const stepKey = (occurrence: number, step: number): string => `${occurrence}.${step}`

/** State of one step and its tasks. */
export class StepRecord {
  readonly job: JobRecord
  readonly occurrence: number
  readonly number: number
  readonly shape: JobStep
  readonly tasks: readonly TaskRecord[]
  /** Tasks that wait for a worker. */
  readonly waiting = new Set<TaskRecord>()
  /** Load shared by the tasks, if they are serving tasks. */
  readonly load = new ServingLoad()
  #doneCount = 0
  #isOpen = false

  /** `firstOrdinal`: the ordinal of the first task. */
  constructor (job: JobRecord, occurrence: number, number: number, shape: JobStep, firstOrdinal = 0) {
    this.job = job
    this.occurrence = occurrence
    this.number = number
    this.shape = shape
    this.tasks = Array.from({ length: shape.taskCount }, (_, index) =>
      new TaskRecord(this, index, firstOrdinal + index))
  }

  /** Key of the step within its job's progress. */
  get key (): string {
    return stepKey(this.occurrence, this.number)
  }

  get isDone (): boolean {
    return this.#doneCount === this.tasks.length
  }

  get doneCount (): number {
    return this.#doneCount
  }

  /** Whether the preceding steps are done, so that the tasks may run. */
  get isOpen (): boolean {
    return this.#isOpen
  }

  /** Queues the tasks that are not done. */
  open (): void {
    if (this.#isOpen) return
    this.#isOpen = true
    for (const task of this.tasks) this.queue(task)
  }

  /** Queues a task that has no run, unless it is done or another cell schedules it. */
  queue (task: TaskRecord): void {
    if (this.#isOpen && !task.isDone && !task.isElsewhere && task.runs.length === 0) this.waiting.add(task)
  }

  /** Whether a task has a run, or is scheduled by another cell. */
  get hasRuns (): boolean {
    return this.#isOpen && this.#doneCount + this.waiting.size < this.tasks.length
  }

  /** Marks a task as done; returns `false` if it already was. */
  markDone (task: TaskRecord): boolean {
    if (task.isDone) return false
    task.isDone = true
    this.#doneCount++
    this.waiting.delete(task)
    return true
  }
}
