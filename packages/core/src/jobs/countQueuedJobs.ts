/**
 * Number of jobs that wait for their first task to start.
 */
import type { JobRecord } from './JobRecord.ts'

/**
 * Counts, for each queue, the jobs without a started task.
 *
 * @example
 * countQueuedJobs(jobs.values()) // { drafts: 12 }
 */
export const countQueuedJobs = (jobs: Iterable<JobRecord>): Readonly<Record<string, number>> => {
  const pending: Record<string, number> = {}
  for (const { job, phase, isGuest } of jobs) {
    if (phase === 'queued' && !isGuest) pending[job.queue] = (pending[job.queue] ?? 0) + 1
  }
  return pending
}
