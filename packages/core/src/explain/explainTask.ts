/**
 * Says in one sentence why a task is where it is, and what would change that.
 */
import { assertNever, newWith } from '@auburnpin/common'
import type { Task, TaskReason, Vm } from '../cell/types.ts'
import { describeReason, describeResources, type Wording } from './describeReason.ts'

/** The VM of the task's placement, `null` if that is on no list, and why the cell's policy has it there. */
export type Standing = Readonly<{ vm?: Vm | null, reason?: TaskReason }>

const FULL_SHARE = 1
const PERCENT = 100

/**
 * One sentence for one task, with what its cell knows beside it.
 *
 * @example
 * explainTask(task) // 'order-17 is queued because VM vm-007 is leaving; it resumes by itself on another VM once there is room.'
 */
export const explainTask = (task: Task, { vm, reason }: Standing = {}): string => {
  const known = newWith(task, { reason: task.reason ?? reason })
  const { cause, change } = unreachable(task, vm) ?? wordingOf(known)
  return `${task.spec.id} ${cause}; ${change}.`
}

// An attempt on a VM that nobody can ask may still run, so no other may be started yet.
const unreachable = (task: Task, vm: Vm | null | undefined): Wording | undefined => {
  if (task.placement === undefined || vm === undefined) return undefined
  const standing = `sits on VM ${vmOf(task)} as attempt ${task.attempt}`
  if (vm === null || vm.missingSince !== undefined) {
    return { cause: `${standing}, which has left the VM list`, change: 'it is moved by itself once a lease has surely run out there' }
  }
  if (vm.session !== undefined) return undefined
  return { cause: `${standing}, whose worker holds no lease as it does not answer`, change: 'it goes on by itself once the worker answers, or is moved once the VM leaves the VM list' }
}

const wordingOf = (task: Task): Wording => {
  switch (task.state) {
    case 'queued':
      return becauseOr(task, 'is queued', waiting(task))
    case 'unrunnable':
      return becauseOr(task, 'can\'t run', waiting(task))
    case 'evicting':
      return becauseOr(task, `is being stopped on VM ${vmOf(task)}`, { cause: `is being stopped on VM ${vmOf(task)}`, change: 'its room is free once the worker confirms the stop' })
    case 'failed':
      return becauseOr(task, `failed after ${attemptsOf(task)}`, { cause: `failed after ${attemptsOf(task)}`, change: 'correct its command, then submit it under a new key' })
    case 'cancelled':
      return becauseOr(task, 'is cancelled', { cause: 'is cancelled', change: 'submit it under a new key to run it' })
    case 'starting':
      return { cause: `was assigned to VM ${vmOf(task)} as attempt ${task.attempt}`, change: 'it runs once the worker confirms the start, which is sent again until then' }
    case 'running':
      return running(task)
    case 'finished':
      return { cause: `finished in attempt ${task.attempt}`, change: 'nothing more will happen to it' }
    default:
      return assertNever(task.state, 'task state')
  }
}

const becauseOr = (task: Task, standing: string, otherwise: Wording): Wording => {
  if (task.reason === undefined) return otherwise
  const { cause, change } = describeReason(task.reason)
  return { cause: `${standing} because ${cause}`, change }
}

const waiting = (task: Task): Wording => ({
  cause: `waits for its turn and for a VM with ${describeResources(task.spec.resources)} to spare`,
  change: 'it starts by itself once other work ends or a VM is added'
})

const running = (task: Task): Wording => {
  const where = `runs on VM ${vmOf(task)} as attempt ${task.attempt}${historyOf(task)}`
  if (task.isWithdrawn) return { cause: `${where} and is being withdrawn`, change: 'it ends once the worker confirms the stop' }
  if (task.reason?.kind === 'placed' || task.reason?.kind === 'throttled-for') return becauseOr(task, where, { cause: where, change: '' })
  const share = task.placement?.throttle ?? FULL_SHARE
  if (share < FULL_SHARE) {
    return { cause: `${where}, held to ${Math.round(share * PERCENT)} % of its cores to protect a service beside it`, change: 'it is let go once the service meets its objective again' }
  }
  if (task.spec.kind === 'batch') return { cause: where, change: 'it ends when its work is done or it is cancelled' }
  return { cause: where, change: 'it runs until a release note withdraws it' }
}

const historyOf = (task: Task): string => {
  if (task.evictions === 0) return ''
  return ` after ${task.evictions} ${task.evictions === 1 ? 'eviction' : 'evictions'}`
}

const vmOf = (task: Task): string => task.placement?.vm ?? 'unknown'

const attemptsOf = (task: Task): string => `${task.attempt} ${task.attempt === 1 ? 'attempt' : 'attempts'}`
