/**
 * Where a task is on its way to its end.
 */
import type { JobScheduler, TaskRecord } from '../../src/index.ts'

export type TaskPlace =
  | 'done'
  /** Its job has ended or belongs to another cell, or other steps come first. */
  | 'not due'
  | 'elsewhere'
  | 'waiting'
  /** It has a run, from the decision to start it until the run has certainly ended. */
  | 'on a worker'
  /** It waits until an order to start it can't be carried out any more. */
  | 'held back'

/**
 * Returns where a task is; `undefined` for a task that nothing would ever start.
 *
 * @example
 * findTaskPlace(task, scheduler) // 'held back'
 */
export const findTaskPlace = (task: TaskRecord, { lateStarts }: JobScheduler): TaskPlace | undefined => {
  const { step, isDone, isElsewhere, runs } = task
  const { job } = step
  if (isDone) return 'done'
  if (job.isFinal || job.movedTo !== undefined || !step.isOpen) return 'not due'
  if (isElsewhere) return 'elsewhere'
  if (runs.length > 0) return 'on a worker'
  if (step.waiting.has(task)) return 'waiting'
  return lateStarts.isHeldBack(task) ? 'held back' : undefined
}
