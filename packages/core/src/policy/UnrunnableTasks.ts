/**
 * Tasks that fit on no VM of the cell, kept until a VM on which they fit is listed.
 */
import type { TaskId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, Transition } from '../cell/types.ts'
import { MAX_REEXAMINED_PER_PASS } from '../constants.ts'
import type { CapacityIndex } from '../placement/CapacityIndex.ts'

/** Each pass examines a bounded number of tasks, in rotation. */
export class UnrunnableTasks {
  readonly #ids = new Set<TaskId>()

  /** Records the change of one task. */
  change (before: Task | undefined, after: Task | undefined): void {
    if (after?.state === 'unrunnable') this.#ids.add(after.spec.id)
    else if (before?.state === 'unrunnable') this.#ids.delete(before.spec.id)
  }

  /** Finds tasks that now fit on some VM. Does not apply its transitions. */
  reexamine (state: CellState, total: CapacityIndex): Transition[] {
    const transitions: Transition[] = []
    for (const id of this.#firstIds()) {
      // Re-inserting the id moves it to the end of the set's iteration order, so the next pass continues after it.
      this.#ids.delete(id)
      this.#ids.add(id)
      const task = state.tasks.get(id)
      if (task === undefined) continue
      if (total.find(task.spec.resources, 1, 0).length > 0) transitions.push({ kind: 'runnable', task: id })
    }
    return transitions
  }

  #firstIds (): TaskId[] {
    const first: TaskId[] = []
    for (const id of this.#ids) {
      if (first.length >= MAX_REEXAMINED_PER_PASS) break
      first.push(id)
    }
    return first
  }
}
