/**
 * Reasons why a task can't start on any of a number of workers.
 */
import type { Instant } from '@auburnpin/common'
import type { FillerInterference } from './FillerInterference.ts'
import { findObstacle, freeProcessors, type Obstacle } from './findObstacle.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'
import { ReservedWorkers } from './WorkerReserve.ts'

/** What keeps a task from the workers. */
export type WorkerObstacles = Readonly<{
  /** For each obstacle, the number of workers that it keeps the task from. */
  counts: ReadonlyMap<Obstacle, number>
  /** Free processors of all workers that the task may use, in thousandths of a core. */
  free: number
  /** The one of them with the most free processors, how many, and what keeps the task from it. */
  largest?: WorkerRecord
  largestFree: number
  largestObstacle?: Obstacle
}>

/** Obstacles that hold whatever else runs on the worker. */
const PERMANENT_OBSTACLES: ReadonlySet<Obstacle> = new Set<Obstacle>(['other-service', 'evacuated', 'unavailable', 'label', 'too-small', 'reserved'])

/**
 * Returns what keeps a task from each worker; `added` are the workers closed to new long-running tasks beyond the constant share.
 *
 * @example
 * findObstacles(task, workers, held, interference, now).counts // Map { 'processors' => 29, 'label' => 4 }
 */
export const findObstacles = (task: TaskRecord, workers: readonly WorkerRecord[], held: HeldWorkers, interference: FillerInterference, now: Instant, added?: ReadonlySet<WorkerRecord>): WorkerObstacles => {
  const reserved = new ReservedWorkers(workers.filter(worker => worker.acceptsWork(now)), added)
  const counts = new Map<Obstacle, number>()
  let free = 0
  let largest: WorkerRecord | undefined
  let largestFree = 0
  let largestObstacle: Obstacle | undefined
  for (const worker of workers) {
    const obstacle = reserved.isClosedTo(task, worker) ? 'reserved' : findObstacle(task, worker, held, interference, now)
    if (obstacle !== undefined) counts.set(obstacle, (counts.get(obstacle) ?? 0) + 1)
    if (obstacle !== undefined && PERMANENT_OBSTACLES.has(obstacle)) continue
    const freeHere = Math.max(0, freeProcessors(task.step, worker, interference, now))
    free += freeHere
    if (freeHere <= largestFree) continue
    largest = worker
    largestFree = freeHere
    largestObstacle = obstacle
  }
  return { counts, free: Math.round(free), largest, largestFree: Math.round(largestFree), largestObstacle }
}
