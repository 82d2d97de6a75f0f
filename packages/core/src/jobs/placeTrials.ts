/**
 * Start of tasks that have probably crashed workers.
 */
import { chooseWorker } from './chooseWorker.ts'
import type { PlacedTask } from './placeTasks.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Places the tasks under which several workers were lost, each on a worker where no other run has just started, so that
 * a further loss shows the cause. If there is none, it holds one until the runs there have survived their starts.
 *
 * @example
 * for (const { task, worker } of placeTrials(openSteps, candidates, context)) start(task, worker)
 */
export function * placeTrials (steps: Iterable<StepRecord>, candidates: readonly WorkerRecord[], { tasksOnTrial, held, interference, now }: PlacingContext): Generator<PlacedTask> {
  const startable = new Set(steps)
  for (const task of tasksOnTrial) {
    if (!task.isOnTrial || !startable.has(task.step) || !task.step.waiting.has(task)) continue
    const worker = chooseWorker(task, candidates, held, interference, now)
    if (worker !== undefined) yield { task, worker }
    else held.holdForTrial(task, candidates, now)
  }
}
