/**
 * Ends of runs whose effects are to be made durable.
 */
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The last end applied for each worker with ends that are not durable. Call it once all dirty segments are taken, and
 * pass the result to `markEndsDurable` after the write.
 *
 * @example
 * const ends = appliedEnds(scheduler.workers.values())
 */
export const appliedEnds = (workers: Iterable<WorkerRecord>): ReadonlyMap<WorkerRecord, number> => {
  const ends = new Map<WorkerRecord, number>()
  for (const worker of workers) if (worker.appliedEnd > worker.durableEnd) ends.set(worker, worker.appliedEnd)
  return ends
}

/**
 * Marks the effects of these ends as durable, so that workers may delete them.
 *
 * @example
 * markEndsDurable(ends)
 */
export const markEndsDurable = (ends: ReadonlyMap<WorkerRecord, number>): void => {
  for (const [worker, sequence] of ends) worker.durableEnd = Math.max(worker.durableEnd, sequence)
}
