/**
 * Which cell schedules a task of a job that is shared between cells.
 */
import type { Instant } from '@auburnpin/common'
import type { TaskRecord } from './TaskRecord.ts'
import type { Delegation } from './types.ts'

/** What the store has of a delegated task. */
export type StoredTaskState = Readonly<{ delegation: Delegation, isDone: boolean, hasRun: boolean }>

/**
 * The latest delegation of a task as this cell knows it, and as the store has it. The other cell may be told only what is
 * stored, as a later owner of this cell continues from that.
 *
 * @example
 * task.delegation = new TaskDelegation({ number: 1, lastAttempt: 200_000, cell: 'cell-1' })
 */
export class TaskDelegation {
  #current: Delegation
  #beingStored: StoredTaskState | undefined
  #stored: StoredTaskState | undefined
  /** Since when the task has waited in the cell that it was delegated to. */
  waitingSince?: Instant | undefined

  constructor (current: Delegation) {
    this.#current = current
  }

  /** The delegation of a task that an earlier owner stored; the rest of the task's state must be restored already. */
  static restore (delegation: Delegation, task: TaskRecord): TaskDelegation {
    const restored = new TaskDelegation(delegation)
    restored.startStoring(task)
    restored.markStored()
    return restored
  }

  get current (): Delegation {
    return this.#current
  }

  get stored (): StoredTaskState | undefined {
    return this.#stored
  }

  change (next: Delegation): void {
    this.#current = next
  }

  /** The task's state is about to be stored. */
  startStoring ({ isDone, hasRun }: TaskRecord): void {
    this.#beingStored = { delegation: this.#current, isDone, hasRun }
  }

  /** The state as of the last `startStoring` is durable. */
  markStored (): void {
    this.#stored = this.#beingStored
  }
}
