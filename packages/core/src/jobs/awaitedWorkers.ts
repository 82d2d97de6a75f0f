/**
 * Workers that keep tasks of earlier terms waiting.
 */
import type { JobScheduler } from './JobScheduler.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Workers whose earlier runs aren't all known to this owner, for which tasks accepted before its term wait.
 *
 * @example
 * awaitedWorkers(scheduler).length // 0 once all have reported
 */
export const awaitedWorkers = ({ isReconciled, workers }: Pick<JobScheduler, 'isReconciled' | 'workers'>): readonly WorkerRecord[] =>
  isReconciled ? [] : [...workers.values()].filter(({ hasReported, hasUnreportedEnds }) => !hasReported || hasUnreportedEnds)
