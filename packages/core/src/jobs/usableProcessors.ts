/**
 * Processors of a worker that short tasks can use.
 */
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The processors that a worker has for short tasks once those on it have ended, in whole pieces of `taskProcessors`, in
 * thousandths of a core; 0 if long-running tasks leave less than one piece.
 *
 * @example
 * usableProcessors(worker, 8_100) // 16_200 of 20_000 that long-running tasks leave
 */
export const usableProcessors = ({ entry, lasting }: WorkerRecord, taskProcessors: number): number =>
  Math.max(0, Math.floor((entry.processors - lasting.processors) / taskProcessors) * taskProcessors)

/**
 * The processors of a worker that no task reserves, in thousandths of a core.
 *
 * @example
 * freeForShortTasks(worker) // 12_400
 */
export const freeForShortTasks = ({ entry, processorsUsed }: WorkerRecord): number => Math.max(0, entry.processors - processorsUsed)
