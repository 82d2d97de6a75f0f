/**
 * Stops runs that make no progress.
 */
import type { Instant } from '@auburnpin/common'
import { isStalled } from './isStalled.ts'
import type { JobSchedulerObserver } from './JobSchedulerObserver.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Requests a stop for each stalled run of a worker, so that its task continues elsewhere.
 *
 * @example
 * stopStalledRuns(worker, observer, now)
 */
export const stopStalledRuns = (worker: WorkerRecord, observer: JobSchedulerObserver, now: Instant): void => {
  for (const run of worker.runs.values()) {
    if (!isStalled(run, now)) continue
    run.isStopRequested = true
    run.task.moves++
    run.task.recordFailureOn(worker)
    observer.runStalled(run, worker.entry.id)
  }
}
