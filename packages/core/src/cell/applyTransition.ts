/**
 * Applies transitions to tasks. A task's durable state changes nowhere else.
 */
import { assertNever, assertInvariant, brand, copyWith, type Attempt, type Instant, type VmId } from '@auburnpin/common'
import { CRASHES_TO_GIVE_UP, MAX_FAILED_ATTEMPTS } from '../constants.ts'
import type { Task, TaskSpec, Transition } from './types.ts'

/**
 * Returns the task after the transition, `undefined` once it is forgotten.
 *
 * @example
 * const task = applyTransition(undefined, { kind: 'accepted', spec }, now)
 */
export const applyTransition = (task: Task | undefined, transition: Transition, now: Instant): Task | undefined => {
  if (transition.kind === 'accepted') return task ?? newTask(transition.spec)
  if (task === undefined) return undefined
  switch (transition.kind) {
    case 'assigned':
      return assign(task, transition, now)
    case 'stopping':
      return markStopping(task, transition)
    case 'ended':
      return end(task, transition)
    case 'survived':
      return task.placement === undefined || task.attempt !== transition.attempt ? task : copyWith(task, { crashedOn: undefined })
    case 'withdrawn':
      return withdraw(task, transition)
    case 'respecified':
      return respecify(task, transition.spec)
    case 'unrunnable':
      return copyWith(task, { state: 'unrunnable', reason: transition.reason })
    case 'runnable':
      return copyWith(task, { state: 'queued', reason: undefined })
    case 'forgotten':
      return undefined
    default:
      return assertNever(transition, 'transition')
  }
}

// The attempt number is kept, as a worker never starts the same attempt of a task twice.
const respecify = (task: Task, spec: TaskSpec): Task => {
  if (task.placement !== undefined) return task
  return copyWith(task, { spec, state: 'queued', failures: 0, failedOn: undefined, crashedOn: undefined, isWithdrawn: false, reason: undefined })
}

const newTask = (spec: TaskSpec): Task => ({
  spec, state: 'queued', attempt: brand<Attempt>(0), failures: 0, evictions: 0, isWithdrawn: false
})

const assign = (task: Task, transition: Extract<Transition, { kind: 'assigned' }>, now: Instant): Task => {
  assertInvariant(task.placement === undefined, 'task-never-in-two-places', `task ${task.spec.id} is assigned while attempt ${task.attempt} has not ended`)
  assertInvariant(transition.attempt === task.attempt + 1, 'evicted-work-resumes-once', `task ${task.spec.id} goes from attempt ${task.attempt} to ${transition.attempt}`)
  return copyWith(task, {
    state: 'starting',
    attempt: transition.attempt,
    reason: undefined,
    placement: { vm: transition.vm, session: transition.session, since: now, isRunning: false, isStopping: false }
  })
}

const markStopping = (task: Task, transition: Extract<Transition, { kind: 'stopping' }>): Task => {
  if (task.placement === undefined || task.attempt !== transition.attempt) return task
  return copyWith(task, { state: 'evicting', reason: transition.reason, placement: copyWith(task.placement, { isStopping: true }) })
}

const end = (task: Task, transition: Extract<Transition, { kind: 'ended' }>): Task => {
  if (task.placement === undefined || task.attempt !== transition.attempt) return task
  const ended = copyWith(task, { placement: undefined, checkpoint: transition.checkpoint ?? task.checkpoint })
  if (transition.end === 'finished') return copyWith(ended, { state: 'finished', crashedOn: undefined, result: transition.result, reason: undefined })
  if (task.isWithdrawn) return copyWith(ended, { state: 'cancelled' })
  if (transition.end === 'failed') return endFailed(ended, task.placement.vm, transition.result ?? 'no reason given')
  if (transition.crash === 'suspect') return endInCrash(ended, task.placement.vm)
  const isEviction = task.placement.isStopping
  return copyWith(ended, {
    state: 'queued',
    evictions: task.evictions + (isEviction ? 1 : 0),
    reason: transition.reason ?? task.reason
  })
}

const endFailed = (task: Task, vm: VmId, last: string): Task => {
  const failures = task.failures + 1
  const failedOn = [...new Set(task.failedOn ?? []).add(vm)]
  const isExhausted = task.spec.kind === 'batch' && failures >= MAX_FAILED_ATTEMPTS
  if (!isExhausted) return copyWith(task, { state: 'queued', failures, failedOn, crashedOn: undefined })
  return copyWith(task, { state: 'failed', failures, failedOn, crashedOn: undefined, result: last, reason: { kind: 'attempts-used-up', last } })
}

// Unlike failed attempts, crashes cost others their work, so they are limited for replicas and watches as well.
const endInCrash = (task: Task, vm: VmId): Task => {
  const crashedOn = [...task.crashedOn ?? [], vm]
  if (crashedOn.length < CRASHES_TO_GIVE_UP) return copyWith(task, { state: 'queued', crashedOn, reason: { kind: 'may-crash-workers', vms: crashedOn } })
  return copyWith(task, { state: 'failed', crashedOn, reason: { kind: 'crashed-workers', vms: crashedOn } })
}

const withdraw = (task: Task, transition: Extract<Transition, { kind: 'withdrawn' }>): Task => {
  // A declaration that is withdrawn and made again starts a task that was given up again.
  if (isFinal(task) && !isGivenUp(task)) return task
  if (task.placement !== undefined) return copyWith(task, { isWithdrawn: true, reason: transition.reason })
  return copyWith(task, { isWithdrawn: true, state: 'cancelled', reason: transition.reason })
}

/** Whether the task has failed because it crashed too many workers in a row. */
export const isGivenUp = (task: Task): boolean => task.reason?.kind === 'crashed-workers'

/** Whether the task is finished, failed or cancelled. */
export const isFinal = (task: Task): boolean =>
  task.state === 'finished' || task.state === 'failed' || task.state === 'cancelled'
