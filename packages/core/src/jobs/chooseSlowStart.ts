/**
 * Choice of a worker on which a filler may start at a reduced pace.
 */
import type { Instant } from '@auburnpin/common'
import { MAX_SLOW_FILLERS, MIN_SLOW_PACE_PERCENT } from './constants.ts'
import type { FillerInterference } from './FillerInterference.ts'
import { findConstraint, freeProcessors } from './findObstacle.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import { FULL_PACE, type TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** A worker and the pace, in percent of full speed, at which a filler leaves its serving tasks below their targets. */
export type SlowStart = Readonly<{ worker: WorkerRecord, pacePercent: number }>

/**
 * Returns the worker on which a filler may start at the highest pace below full pace; `undefined` if there is none. Designed for
 * peaks of load at which all workers with free processors are closed to fillers that interfere. The pace rises as soon as
 * the pressure on the serving tasks allows.
 *
 * @example
 * chooseSlowStart(task, workers, held, interference, now)?.pacePercent // 12
 */
export const chooseSlowStart = (task: TaskRecord, workers: Iterable<WorkerRecord>, held: HeldWorkers, interference: FillerInterference, now: Instant): SlowStart | undefined => {
  const { step } = task
  let best: SlowStart | undefined
  for (const worker of workers) {
    if (freeProcessors(step, worker, interference, now) < step.shape.processors || task.failedOn.has(worker)) continue
    if (countSlowFillers(worker) >= MAX_SLOW_FILLERS || findConstraint(task, worker, held, now) !== undefined) continue
    const pacePercent = Math.floor(FULL_PACE * interference.sustainablePace(step.shape, worker.runs.values(), now))
    if (pacePercent >= MIN_SLOW_PACE_PERCENT && pacePercent < FULL_PACE && pacePercent > (best?.pacePercent ?? 0)) best = { worker, pacePercent }
  }
  return best
}

const countSlowFillers = ({ runs }: WorkerRecord): number => {
  let count = 0
  for (const { task, pacePercent } of runs.values()) if (task.step.shape.isFiller && pacePercent < FULL_PACE) count++
  return count
}
