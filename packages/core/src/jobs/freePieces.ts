/**
 * Free processors of the workers of a cell, as other cells may use them.
 */
import type { Instant } from '@auburnpin/common'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Sizes of pieces that are described; more of them fit only smaller tasks. */
const MAX_SIZES = 8
const MAX_LATER_SIZES = 3

/** Sizes of the largest pieces of free processors on one worker each, in thousandths of a core, and how many workers have one of that size; largest first. */
export type FreePieces = ReadonlyArray<readonly [processors: number, workers: number]>

/**
 * The largest pieces of free processors that workers have for new tasks.
 *
 * @example
 * freePieces(workers.values(), now) // [[32_000, 21], [12_000, 2]]
 */
export const freePieces = (workers: Iterable<WorkerRecord>, now: Instant): FreePieces =>
  largestPieces(workers, now, ({ entry, processorsUsed }) => entry.processors - processorsUsed, MAX_SIZES)

/**
 * The largest pieces once all tasks have ended that end by themselves. Interrupted long-running tasks come before others and
 * hold such a piece until then.
 *
 * @example
 * laterPieces(workers.values(), now) // [[32_000, 250]]
 */
export const laterPieces = (workers: Iterable<WorkerRecord>, now: Instant): FreePieces =>
  largestPieces(workers, now, ({ entry, lasting }) => entry.processors - lasting.processors, MAX_LATER_SIZES)

const largestPieces = (workers: Iterable<WorkerRecord>, now: Instant, sizeOf: (worker: WorkerRecord) => number, limit: number): FreePieces => {
  const counts = new Map<number, number>()
  for (const worker of workers) {
    const size = worker.acceptsWork(now) ? sizeOf(worker) : 0
    if (size > 0) counts.set(size, (counts.get(size) ?? 0) + 1)
  }
  return [...counts].sort(([one], [other]) => other - one).slice(0, limit)
}
