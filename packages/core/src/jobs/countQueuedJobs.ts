/**
 * Lengths of the queues.
 */
import type { JobRecord } from './JobRecord.ts'

/**
 * Number of jobs in each queue without a started task.
 *
 * @example
 * countQueuedJobs(scheduler.jobs.values()) // { drafts: 12 }
 */
export const countQueuedJobs = (jobs: Iterable<JobRecord>): Readonly<Record<string, number>> => {
  const pending: Record<string, number> = {}
  for (const { job, phase } of jobs) {
    if (phase === 'queued') pending[job.queue] = (pending[job.queue] ?? 0) + 1
  }
  return pending
}
