/**
 * Restart of long-running tasks that have lost their runs.
 */
import { chooseWorker } from './chooseWorker.ts'
import type { PlacedTask } from './placeTasks.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Places the interrupted long-running tasks, those of the step accepted first before others. They come before all tasks
 * that have not run, of whatever priority, and may use every worker, also one that is held for such a task. One that
 * fits nowhere holds a worker at once. Designed for an overload in which all capacity that comes free is taken again in
 * the same pass.
 *
 * @example
 * for (const { task, worker } of placeInterruptedTasks(openSteps, candidates, context)) start(task, worker)
 */
export function * placeInterruptedTasks (steps: Iterable<StepRecord>, candidates: readonly WorkerRecord[], { held, interference, now }: PlacingContext): Generator<PlacedTask> {
  const interruptedSteps = [...steps].filter(({ shape, waiting }) => shape.isLasting && waiting.size > 0)
  interruptedSteps.sort((one, other) => one.job.job.acceptedAt - other.job.job.acceptedAt)
  for (const step of interruptedSteps) {
    for (const task of step.waiting) {
      if (!task.isInterrupted || !task.mayRestart(now)) continue
      const worker = chooseWorker(task, candidates, held, interference, now)
      if (worker !== undefined) yield { task, worker }
      // Without a worker to hold there is none for the other tasks of the step either.
      else if (!held.hold(task, candidates, now)) break
    }
  }
}
