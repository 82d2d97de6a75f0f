/**
 * The tasks as the journal has them, while later steps are still on their way to it.
 */
import type { Instant, TaskId } from '@auburnpin/common'
import { applyTransition } from './applyTransition.ts'
import type { Task, Transition } from './types.ts'

type Held = { readonly task: Task | undefined, steps: number }

/**
 * Holds the last durable version of each task that has changed since; all others are as in memory.
 *
 * @example
 * const durable = new DurableTasks(tasks)
 * durable.hold(id, tasks.get(id))
 * durable.release([transition], now)
 */
export class DurableTasks {
  readonly #tasks: ReadonlyMap<TaskId, Task>
  readonly #held = new Map<TaskId, Held>()

  constructor (tasks: ReadonlyMap<TaskId, Task>) {
    this.#tasks = tasks
  }

  /** The task as the journal has it. */
  get (id: TaskId): Task | undefined {
    const held = this.#held.get(id)
    return held === undefined ? this.#tasks.get(id) : held.task
  }

  /** All tasks as the journal has them. */
  * values (): IterableIterator<Task> {
    for (const [id, task] of this.#tasks) {
      if (!this.#held.has(id)) yield task
    }
    for (const { task } of this.#held.values()) {
      if (task !== undefined) yield task
    }
  }

  /** Tasks in memory. */
  get size (): number {
    return this.#tasks.size
  }

  /** Tasks with changes that are not durable yet. */
  get pending (): number {
    return this.#held.size
  }

  /** Notes a change of a task that is not durable yet; `before` is the task without it. */
  hold (id: TaskId, before: Task | undefined): void {
    const held = this.#held.get(id)
    if (held === undefined) this.#held.set(id, { task: before, steps: 1 })
    else held.steps++
  }

  /** Notes that the changes are durable now, in the order in which they were held. */
  release (transitions: readonly Transition[], now: Instant): void {
    for (const transition of transitions) {
      const id = taskOf(transition)
      const held = this.#held.get(id)
      if (held === undefined) continue
      if (held.steps === 1) this.#held.delete(id)
      else this.#held.set(id, { task: applyTransition(held.task, transition, now), steps: held.steps - 1 })
    }
  }
}

/** The task that a transition changes. */
export const taskOf = (transition: Transition): TaskId =>
  transition.kind === 'accepted' ? transition.spec.id : transition.task
