/**
 * Placement of overdue jobs while jobs in time wait.
 */
import { chooseWorker } from './chooseWorker.ts'
import { MAX_IDLE_STARTS } from './constants.ts'
import { findOverdueSteps } from './findOverdueSteps.ts'
import type { PlacedTask } from './placeTasks.ts'
import type { PlacingContext } from './PlacingContext.ts'
import { processorKind } from './processorKind.ts'
import { RefusedSteps } from './RefusedSteps.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Places overdue jobs one after another within the share of `IdleJobShare`, while jobs in time wait: all tasks of
 * the job that was accepted first before the next one. Turns of single tasks would begin all of them and end few. What fits
 * nowhere now leaves its share to the next, unless it holds a worker. `workersFor` as for `placeIdleJobs`. Returns the kinds
 * of processors whose share is used up or kept, see `processorKind`.
 *
 * @example
 * for (const { task, worker } of placeOverdueJobs(steps, workers, task => workers, context)) start(task, worker)
 */
export function * placeOverdueJobs (steps: readonly StepRecord[], candidates: readonly WorkerRecord[], workersFor: (task: TaskRecord) => readonly WorkerRecord[], context: PlacingContext): Generator<PlacedTask, ReadonlySet<string>> {
  const { held, interference, waits: { idleJobs: { share } }, now } = context
  const refused = new RefusedSteps(candidates.length)
  const closed = new Set<string>()
  let started = 0
  for (const step of findOverdueSteps(steps, context)) {
    if (started >= MAX_IDLE_STARTS) break
    const key = processorKind(step.shape, step.job.job.policy)
    if (closed.has(key) || (!held.isHolder(step) && refused.includes(step))) continue
    for (const task of likelyFirst(step)) {
      if (!share.allows(step)) closed.add(key)
      if (closed.has(key) || started >= MAX_IDLE_STARTS) break
      const workers = workersFor(task)
      const worker = chooseWorker(task, workers, held, interference, now)
      if (worker === undefined) {
        // A task that may crash its worker may be refused for a reason of its own.
        if (task.crashes.count === 0 && !task.crashes.areUncertain) refused.add(step, workers)
        // The share goes next to the job that holds a worker, so that smaller ones don't pass it again and again.
        if (held.isFillerHolder(step)) closed.add(key)
        break
      }
      share.charge(step)
      started++
      yield { task, worker }
    }
  }
  return closed
}

const likelyFirst = ({ waiting }: StepRecord): readonly TaskRecord[] => {
  const tasks = [...waiting].filter(({ isOnTrial }) => !isOnTrial)
  return [...tasks.filter(({ crashes }) => !crashes.areUncertain), ...tasks.filter(({ crashes }) => crashes.areUncertain)]
}
