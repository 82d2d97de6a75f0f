/**
 * The tasks as recorded in the journal, while changes of later steps are still being written.
 */
import type { Instant, TaskId } from '@auburnpin/common'
import { applyTransition } from './applyTransition.ts'
import type { Task, Transition } from './types.ts'

// `task` is the last durable version; `steps` counts the changes made to it since.
type PendingChanges = { readonly task: Task | undefined, steps: number }

/**
 * Keeps the last durable version of each task with changes that are not durable yet; all other tasks are as in memory.
 *
 * @example
 * const durable = new DurableTasks(tasks)
 * durable.recordChange(id, tasks.get(id))
 * durable.markDurable([transition], now)
 */
export class DurableTasks {
  readonly #tasks: ReadonlyMap<TaskId, Task>
  readonly #pending = new Map<TaskId, PendingChanges>()

  constructor (tasks: ReadonlyMap<TaskId, Task>) {
    this.#tasks = tasks
  }

  /** The task as recorded in the journal. */
  get (id: TaskId): Task | undefined {
    const pending = this.#pending.get(id)
    return pending === undefined ? this.#tasks.get(id) : pending.task
  }

  /** All tasks as recorded in the journal. */
  * values (): IterableIterator<Task> {
    for (const [id, task] of this.#tasks) {
      if (!this.#pending.has(id)) yield task
    }
    for (const { task } of this.#pending.values()) {
      if (task !== undefined) yield task
    }
  }

  /** Number of tasks in memory. */
  get size (): number {
    return this.#tasks.size
  }

  /** Number of tasks with changes that are not durable yet. */
  get pendingCount (): number {
    return this.#pending.size
  }

  /** Records a change of a task that is not durable yet; `before` is the task before the change. */
  recordChange (id: TaskId, before: Task | undefined): void {
    const pending = this.#pending.get(id)
    if (pending === undefined) this.#pending.set(id, { task: before, steps: 1 })
    else pending.steps++
  }

  /** Marks changes as durable; they must come in the order in which they were recorded. */
  markDurable (transitions: readonly Transition[], now: Instant): void {
    for (const transition of transitions) {
      const id = taskIdOf(transition)
      const pending = this.#pending.get(id)
      if (pending === undefined) continue
      if (pending.steps === 1) this.#pending.delete(id)
      else this.#pending.set(id, { task: applyTransition(pending.task, transition, now), steps: pending.steps - 1 })
    }
  }
}

/** Id of the task that a transition changes. */
export const taskIdOf = (transition: Transition): TaskId =>
  transition.kind === 'accepted' ? transition.spec.id : transition.task
