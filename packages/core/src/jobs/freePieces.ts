/**
 * Free processors of the workers of a cell, as other cells may use them.
 */
import type { Instant } from '@auburnpin/common'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Sizes of pieces that are described; more of them fit only smaller tasks. */
const MAX_SIZES = 8

/** Sizes of the largest pieces of free processors on one worker each, in thousandths of a core, and how many workers have one of that size; largest first. */
export type FreePieces = ReadonlyArray<readonly [processors: number, workers: number]>

/**
 * The largest pieces of free processors that workers have for new tasks.
 *
 * @example
 * freePieces(workers.values(), now) // [[32_000, 21], [12_000, 2]]
 */
export const freePieces = (workers: Iterable<WorkerRecord>, now: Instant): FreePieces => {
  const counts = new Map<number, number>()
  for (const worker of workers) {
    if (!worker.acceptsWork(now)) continue
    const free = worker.entry.processors - worker.processorsUsed
    if (free > 0) counts.set(free, (counts.get(free) ?? 0) + 1)
  }
  return [...counts].sort(([one], [other]) => other - one).slice(0, MAX_SIZES)
}
