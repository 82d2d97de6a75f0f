/**
 * Choice of the tasks that hold workers.
 */
import { IDLE_HOLD_AFTER_MS, LONG_RUNNING_HOLD_AFTER_MS } from './constants.ts'
import { findIdleSteps } from './findIdleSteps.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { hasUsedSlack, timelinessOf, USELESS } from './timeliness.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Holds workers for tasks that have waited long while smaller ones were placed: the most urgent first, and the largest
 * first among equal priorities, as smaller ones fit into less free capacity. Of the jobs that are useless, only the one that
 * has been idle for longest holds a worker.
 *
 * @example
 * holdWorkers(steps, () => workers, context)
 */
export const holdWorkers = (steps: readonly StepRecord[], workersFor: (task: TaskRecord) => readonly WorkerRecord[], context: PlacingContext): void => {
  const { held, waits, delays, now } = context
  const longestIdle = findLongestIdle(steps, context)
  const holders = steps.filter(step => (step === longestIdle || isOverdue(step, context)) && !delays.isDelayed(step) && waits.isPassedBySmaller(step))
  holders.sort((one, other) => one.job.job.policy.priority - other.job.job.policy.priority ||
    other.shape.processors - one.shape.processors || waits.waitedMs(other, now) - waits.waitedMs(one, now))
  for (const step of holders) {
    for (const task of step.waiting) {
      // Interrupted tasks hold workers already, and those that may crash theirs start apart.
      if (!task.isInterrupted && !task.isOnTrial && !held.hold(task, workersFor(task), now)) break
      if (step === longestIdle) break
    }
  }
}

const findLongestIdle = (steps: readonly StepRecord[], context: PlacingContext): StepRecord | undefined => {
  const { waits: { idleJobs }, now } = context
  return findIdleSteps(steps, context).find(({ job, shape }) => !shape.isFiller && idleJobs.idleMs(job, now) >= IDLE_HOLD_AFTER_MS)
}

// Fillers use no processors that could be held.
const isOverdue = (step: StepRecord, { waits, now, wallTime }: PlacingContext): boolean => {
  const { shape } = step
  if (shape.isFiller) return false
  if (shape.isLasting) return waits.waitedMs(step, now) >= LONG_RUNNING_HOLD_AFTER_MS
  return timelinessOf(step, wallTime) !== USELESS && hasUsedSlack(step, wallTime)
}
