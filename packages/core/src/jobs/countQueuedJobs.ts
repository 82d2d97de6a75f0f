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
  // A queue may have the name of a property that every object has.
  const pending = new Map<string, number>()
  for (const { job, phase, isGuest } of jobs) {
    if (phase === 'queued' && !isGuest) pending.set(job.queue, (pending.get(job.queue) ?? 0) + 1)
  }
  return Object.fromEntries(pending)
}
