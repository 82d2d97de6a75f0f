/**
 * Restart of long-running tasks that have lost their runs.
 */
import { chooseWorker } from './chooseWorker.ts'
import type { PlacedTask } from './placeTasks.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Places the interrupted long-running tasks, those without a run for longest first. They come before all tasks
 * that have not run, of whatever priority, and may use every worker. Those that fit nowhere hold workers at once.
 * Designed for an overload in which all capacity that comes free is taken again in the same pass.
 *
 * @example
 * for (const { task, worker } of placeInterruptedTasks(openSteps, candidates, context)) start(task, worker)
 */
export function * placeInterruptedTasks (steps: Iterable<StepRecord>, candidates: readonly WorkerRecord[], { held, interference, now }: PlacingContext): Generator<PlacedTask> {
  const interrupted = interruptedTasks(steps).filter(task => task.mayRestart(now))
  // Holds come after all starts, so that a task that fits isn't kept away by a larger one.
  const fullSteps = new Set<StepRecord>()
  for (const task of interrupted) {
    if (fullSteps.has(task.step)) continue
    const worker = chooseWorker(task, candidates, held, interference, now)
    if (worker !== undefined) yield { task, worker }
    else fullSteps.add(task.step)
  }
  for (const task of interrupted) {
    // Fillers use no processors that could be held.
    if (task.runs.length === 0 && !task.step.shape.isFiller) held.hold(task, candidates, now)
  }
}

const interruptedTasks = (steps: Iterable<StepRecord>): TaskRecord[] => {
  const interrupted: TaskRecord[] = []
  for (const { shape, waiting } of steps) {
    if (!shape.isLasting) continue
    for (const task of waiting) if (task.isInterrupted && !task.isOnTrial) interrupted.push(task)
  }
  return interrupted.sort((one, other) => interruptedSince(one) - interruptedSince(other))
}

// Tasks whose last run ended in an earlier term come first.
const interruptedSince = ({ lastEnd }: TaskRecord): number => lastEnd?.at ?? 0
