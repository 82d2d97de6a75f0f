/**
 * Tasks that fit on no VM, kept until VMs on which they fit come up.
 */
import type { TaskId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, Transition } from '../cell/types.ts'
import { MAX_REEXAMINED_PER_PASS } from '../constants.ts'
import type { CapacityIndex } from '../placement/CapacityIndex.ts'

/** Looks at a bounded number in each pass, in turns. */
export class UnrunnableTasks {
  readonly #ids = new Set<TaskId>()

  /** Takes in the change of one task. */
  change (before: Task | undefined, after: Task | undefined): void {
    if (after?.state === 'unrunnable') this.#ids.add(after.spec.id)
    else if (before?.state === 'unrunnable') this.#ids.delete(before.spec.id)
  }

  /** Finds those that fit on some VM by now. Does not apply its transitions. */
  reexamine (state: CellState, whole: CapacityIndex): Transition[] {
    const transitions: Transition[] = []
    for (const id of this.#firstIds()) {
      // To the back of the set's order, so that the next pass goes on behind this one.
      this.#ids.delete(id)
      this.#ids.add(id)
      const task = state.tasks.get(id)
      if (task === undefined) continue
      if (whole.find(task.spec.resources, 1, 0).length > 0) transitions.push({ kind: 'runnable', task: id })
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
