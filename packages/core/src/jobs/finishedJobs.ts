/**
 * Jobs whose rows may be deleted.
 */
import type { Instant } from '@auburnpin/common'
import type { JobRecord } from './JobRecord.ts'
import type { UnstoredProgress } from './UnstoredProgress.ts'

/**
 * The jobs of the cell that ended before a moment, have no runs left and whose final phase is not waiting to be written.
 *
 * @example
 * for (const record of finishedJobs(jobs.values(), unstored, now - 150_000, 50)) deleteRows(record)
 */
export const finishedJobs = (jobs: Iterable<JobRecord>, unstored: UnstoredProgress, moment: Instant, limit: number): readonly JobRecord[] => {
  const finished: JobRecord[] = []
  for (const record of jobs) {
    if (finished.length >= limit) break
    if (record.isGuest || record.endedAt === undefined || record.endedAt >= moment || unstored.has(record)) continue
    if (![...record.tasks()].some(task => task.runs.length > 0)) finished.push(record)
  }
  return finished
}
