/**
 * Explains in one sentence why a task is in its state, and what happens next or would change it.
 */
import { assertNever, copyWith } from '@auburnpin/common'
import type { Task, TaskReason, Vm } from '../cell/types.ts'
import { describeReason, describeResources, type Explanation } from './describeReason.ts'

/** The VM of the task's placement, `null` if no VM list contains it, and the policy's reason for the task's state. */
export type TaskContext = Readonly<{ vm?: Vm | null, reason?: TaskReason }>

const FULL_SHARE = 1
const PERCENT = 100

/**
 * Returns the sentence for a task; the context comes from its cell.
 *
 * @example
 * explainTask(task) // 'order-17 is queued because VM vm-007 is leaving; it resumes by itself once another VM has enough free capacity.'
 */
export const explainTask = (task: Task, { vm, reason }: TaskContext = {}): string => {
  const taskWithReason = copyWith(task, { reason: task.reason ?? reason })
  const { cause, nextStep } = explainUnreachable(task, vm) ?? explainState(taskWithReason)
  return `${task.spec.id} ${cause}; ${nextStep}.`
}

// An attempt on a VM whose worker is unreachable may still run, so no other attempt may start yet.
const explainUnreachable = (task: Task, vm: Vm | null | undefined): Explanation | undefined => {
  if (task.placement === undefined || vm === undefined) return undefined
  const position = `is placed on VM ${vmOf(task)} as attempt ${task.attempt}`
  if (vm === null || vm.missingSince !== undefined) {
    return { cause: `${position}, and that VM has left the VM list`, nextStep: 'it is moved by itself once its worker\'s lease has certainly expired' }
  }
  if (vm.session !== undefined) return undefined
  return { cause: `${position}, and the worker there does not respond and holds no lease`, nextStep: 'it continues by itself once the worker responds, or is moved once the VM leaves the VM list' }
}

const explainState = (task: Task): Explanation => {
  switch (task.state) {
    case 'queued':
      return withReason(task, 'is queued', explainWaiting(task))
    case 'unrunnable':
      return withReason(task, 'can\'t run', explainWaiting(task))
    case 'evicting':
      return withReason(task, `is being stopped on VM ${vmOf(task)}`, { cause: `is being stopped on VM ${vmOf(task)}`, nextStep: 'its resources are free once the worker confirms the stop' })
    case 'failed':
      return withReason(task, `failed after ${attemptCount(task)}`, { cause: `failed after ${attemptCount(task)}`, nextStep: 'correct its command, then submit it under a new key' })
    case 'cancelled':
      return withReason(task, 'is cancelled', { cause: 'is cancelled', nextStep: 'submit it under a new key to run it' })
    case 'starting':
      return { cause: `was assigned to VM ${vmOf(task)} as attempt ${task.attempt}`, nextStep: 'it runs once the worker confirms the start, which is sent again until then' }
    case 'running':
      return explainRunning(task)
    case 'finished':
      return { cause: `finished in attempt ${task.attempt}`, nextStep: 'nothing more will happen to it' }
    default:
      return assertNever(task.state, 'task state')
  }
}

const withReason = (task: Task, clause: string, fallback: Explanation): Explanation => {
  if (task.reason === undefined) return fallback
  const { cause, nextStep } = describeReason(task.reason)
  return { cause: `${clause} because ${cause}`, nextStep }
}

const explainWaiting = (task: Task): Explanation => ({
  cause: `waits for its turn and for a VM with ${describeResources(task.spec.resources)} free`,
  nextStep: 'it starts by itself once other work ends or a VM is added'
})

const explainRunning = (task: Task): Explanation => {
  const clause = `runs on VM ${vmOf(task)} as attempt ${task.attempt}${evictionSuffix(task)}`
  if (task.isWithdrawn) return { cause: `${clause} and is being withdrawn`, nextStep: 'it ends once the worker confirms the stop' }
  if (task.reason?.kind === 'placed' || task.reason?.kind === 'throttled-for') return withReason(task, clause, { cause: clause, nextStep: '' })
  const share = task.placement?.throttle ?? FULL_SHARE
  if (share < FULL_SHARE) {
    return { cause: `${clause}, throttled to ${Math.round(share * PERCENT)} % of its cores to protect a service on the same VM`, nextStep: 'the throttle ends once the service meets its objective again' }
  }
  if (task.spec.kind === 'batch') return { cause: clause, nextStep: 'it ends when its work is done or it is cancelled' }
  return { cause: clause, nextStep: 'it runs until a release note withdraws it' }
}

const evictionSuffix = (task: Task): string => {
  if (task.evictions === 0) return ''
  return ` after ${task.evictions} ${task.evictions === 1 ? 'eviction' : 'evictions'}`
}

const vmOf = (task: Task): string => task.placement?.vm ?? 'unknown'

const attemptCount = (task: Task): string => `${task.attempt} ${task.attempt === 1 ? 'attempt' : 'attempts'}`
