/**
 * Closes the workers of evacuated data centres, and opens those of restored ones again.
 */
import { hashFraction, type Instant, type WorkerId } from '@auburnpin/common'
import { RESTORATION_SPREAD_MS } from './constants.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * `evacuated`: the worker's data centre is evacuated, so that nothing starts there. `returning`: it was a short time ago,
 * and the worker takes only restarts of interrupted tasks.
 */
export type WorkerEvacuation = 'none' | 'evacuated' | 'returning'

/**
 * The state of a worker whose data centre is evacuated, or was restored at `restoredAt`. The workers of a restored data
 * centre take new work one after another, in the order of a hash of their ids. Designed for a data centre of 60 to 80
 * workers, a third or a quarter of an installation: they are all empty and possibly cold, and a pass would otherwise send
 * most of the waiting tasks to them at once. Interrupted tasks use them at once, as those may not stay away for long.
 *
 * @example
 * evacuationOf(worker.entry.id, false, restoredAt, now) // 'returning'
 */
export const evacuationOf = (worker: WorkerId, isEvacuated: boolean, restoredAt: Instant | undefined, now: Instant): WorkerEvacuation => {
  if (isEvacuated) return 'evacuated'
  return restoredAt !== undefined && now - restoredAt < returnDelayMs(worker) ? 'returning' : 'none'
}

/**
 * Milliseconds from the restoration of its data centre until a worker takes new work, at most `RESTORATION_SPREAD_MS`.
 *
 * @example
 * returnDelayMs(worker.entry.id) // 1_830
 */
export const returnDelayMs = (worker: WorkerId): number => RESTORATION_SPREAD_MS * hashFraction(worker)

/**
 * Number of workers in evacuated data centres.
 *
 * @example
 * countEvacuated(scheduler.workers.values()) // 62
 */
export const countEvacuated = (workers: Iterable<WorkerRecord>): number => {
  let count = 0
  for (const { evacuation } of workers) if (evacuation === 'evacuated') count++
  return count
}
