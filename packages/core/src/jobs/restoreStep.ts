/**
 * Restores the state of tasks from stored progress.
 */
import { brand, type Attempt } from '@auburnpin/common'
import type { StepRecord } from './StepRecord.ts'
import { TaskDelegation } from './TaskDelegation.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobProgress } from './types.ts'

/**
 * Restores the tasks of a new step.
 *
 * @example
 * for (const step of steps) restoreStep(step, progress)
 */
export const restoreStep = (step: StepRecord, progress: JobProgress): void => {
  for (const task of step.tasks) {
    if (isNamed(progress.done[step.key], task)) step.markDone(task)
    task.wasOrdered = progress.phase === 'active'
    const started = progress.started?.[step.key]
    task.hasRun = started === undefined ? task.wasOrdered : isNamed(started, task)
    restoreAttempts(task, progress)
    task.knownRun = progress.knownRuns?.[task.progressKey]
    const delegation = progress.delegations?.[task.progressKey]
    if (delegation === undefined) continue
    task.delegation = TaskDelegation.restore(delegation, task)
    if (delegation.cell !== undefined && !step.job.isGuest) step.job.delegates.add(delegation.cell)
  }
}

/**
 * Continues with what the progress says of a task's failed and lost runs, and its checkpoint.
 *
 * @example
 * restoreAttempts(task, report.progress)
 */
export const restoreAttempts = (task: TaskRecord, { failed, crashed, crashedOn, checkpoints }: JobProgress): void => {
  for (const attempt of failed[task.progressKey] ?? []) task.addFailedAttempt(attempt)
  const lost = crashed?.[task.progressKey]
  if (lost !== undefined) task.crashes.restore(lost.map(attempt => brand<Attempt>(attempt)), crashedOn?.[task.progressKey] ?? [])
  const checkpoint = checkpoints[task.progressKey]
  if (checkpoint !== undefined) task.checkpoint = checkpoint
}

/**
 * Whether a list of indexes, or `all`, contains a task.
 *
 * @example
 * isNamed(progress.done['0.1'], task) // true
 */
export const isNamed = (indexes: readonly number[] | 'all' | undefined, { index }: TaskRecord): boolean =>
  indexes === 'all' || indexes?.includes(index) === true
