/**
 * Brings watches and declared batch tasks into line with a changed declaration.
 */
import type { TaskId } from '@auburnpin/common'
import type { CellState } from './CellState.ts'
import { stopAction } from './reconcileReport.ts'
import { isSameWork } from './ReplicaReplacement.ts'
import type { CellAction, Task, TaskSpec, Transition } from './types.ts'

/** What to do now, and the tasks to look at again once their attempts have ended. */
export type Redeclaration = { readonly transitions: Transition[], readonly actions: CellAction[], readonly pending: TaskSpec[] }

/**
 * A task that has not started takes its new declaration at once; one that runs is stopped with a checkpoint
 * first. One that was withdrawn and is declared again is queued again. A finished one stays finished.
 */
export const redeclare = (state: CellState, specs: readonly TaskSpec[]): Redeclaration => {
  const found: Redeclaration = { transitions: [], actions: [], pending: [] }
  for (const spec of specs) {
    const task = state.tasks.get(spec.id)
    if (spec.kind === 'replica' || task === undefined || task.state === 'finished' || !isChanged(task, spec)) continue
    if (task.placement === undefined) {
      found.transitions.push({ kind: 'respecified', task: spec.id, spec })
      continue
    }
    found.pending.push(spec)
    const vm = state.vms.get(task.placement.vm)
    if (vm === undefined || task.isWithdrawn || task.placement.isStopping) continue
    found.transitions.push({ kind: 'stopping', task: spec.id, attempt: task.attempt, reason: { kind: 'redeclared' } })
    found.actions.push(stopAction(vm, task, task.placement))
  }
  return found
}

const isChanged = (task: Task, spec: TaskSpec): boolean => {
  const isDeclaredAgain = task.isWithdrawn && task.reason?.kind === 'withdrawn'
  return isDeclaredAgain || !isSameWork(task.spec, spec)
}

/** Ids of the specs. */
export const idsOf = (specs: readonly TaskSpec[]): ReadonlySet<TaskId> => new Set(specs.map(spec => spec.id))
