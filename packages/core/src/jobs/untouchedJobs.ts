/**
 * Jobs that another cell may schedule as a whole.
 */
import type { Instant } from '@auburnpin/common'
import type { JobRecord } from './JobRecord.ts'
import type { StepRecord } from './StepRecord.ts'
import type { WaitingSteps } from './WaitingSteps.ts'

/**
 * The jobs of the given steps that have waited since `before` without a task that was ever started or delegated. Those
 * that wait longest come first.
 *
 * @example
 * untouchedJobs(openSteps, waits, now - 800)[0]?.phase // 'queued'
 */
export const untouchedJobs = (openSteps: Iterable<StepRecord>, waits: WaitingSteps, before: Instant): readonly JobRecord[] => {
  const untouched = new Set<JobRecord>()
  for (const step of openSteps) {
    const { job } = step
    if (job.phase !== 'queued' || job.isGuest || job.movedTo !== undefined || job.job.occurrences > 0 || !waits.hasWaitedSince(step, before)) continue
    if (![...job.tasks()].some(task => task.wasOrdered || task.isDone || task.delegation !== undefined || task.failedAttempts.length > 0 || task.crashes.toStore.length > 0 || task.runs.length > 0)) untouched.add(job)
  }
  return [...untouched]
}
