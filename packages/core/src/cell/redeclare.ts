/**
 * Applies changed declarations to watches and declared batch tasks.
 */
import type { TaskId } from '@auburnpin/common'
import type { CellState } from './CellState.ts'
import { stopAction } from './reconcileReport.ts'
import { isSameWork } from './ReplicaReplacement.ts'
import type { CellAction, Task, TaskSpec, Transition } from './types.ts'

/** Transitions and actions for now, and the specs to apply once the attempts that are being stopped have ended. */
export type Redeclaration = { readonly transitions: Transition[], readonly actions: CellAction[], readonly pending: TaskSpec[] }

/**
 * A task without a placement gets its new declaration at once; a placed one is first stopped with a checkpoint.
 * In an evacuated data centre a placed task runs on as it was declared, because it could not start again there.
 * A task that was withdrawn and is declared again is queued again. A finished task stays finished.
 */
export const redeclare = (state: CellState, specs: readonly TaskSpec[]): Redeclaration => {
  const result: Redeclaration = { transitions: [], actions: [], pending: [] }
  for (const spec of specs) {
    const task = state.tasks.get(spec.id)
    if (spec.kind === 'replica' || task === undefined || task.state === 'finished' || !isChanged(task, spec)) continue
    if (task.placement === undefined) {
      result.transitions.push({ kind: 'respecified', task: spec.id, spec })
      continue
    }
    result.pending.push(spec)
    const vm = state.vms.get(task.placement.vm)
    if (vm === undefined || vm.isEvacuated === true || task.isWithdrawn || task.placement.isStopping) continue
    result.transitions.push({ kind: 'stopping', task: spec.id, attempt: task.attempt, reason: { kind: 'redeclared' } })
    result.actions.push(stopAction(vm, task, task.placement))
  }
  return result
}

const isChanged = (task: Task, spec: TaskSpec): boolean => {
  const isDeclaredAgain = task.isWithdrawn && task.reason?.kind === 'withdrawn'
  return isDeclaredAgain || !isSameWork(task.spec, spec)
}

/** Ids of the specs. */
export const idsOf = (specs: readonly TaskSpec[]): ReadonlySet<TaskId> => new Set(specs.map(spec => spec.id))
