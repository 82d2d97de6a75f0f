/**
 * Choice of the tasks that hold workers.
 */
import { IDLE_HOLD_AFTER_MS, LONG_RUNNING_HOLD_AFTER_MS } from './constants.ts'
import { findIdleSteps } from './findIdleSteps.ts'
import { findOverdueSteps } from './findOverdueSteps.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { hasUsedSlack, timelinessOf, USELESS } from './timeliness.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Holds workers for tasks that have waited long while smaller ones were placed: the most urgent first, and the largest
 * first among equal priorities, as smaller ones fit into less free capacity. Of the jobs that are too late,
 * only those that have been idle for longest hold one.
 *
 * @example
 * holdWorkers(steps, () => workers, context)
 */
export const holdWorkers = (steps: readonly StepRecord[], workersFor: (task: TaskRecord) => readonly WorkerRecord[], context: PlacingContext): void => {
  const { held, waits, delays, now } = context
  const holders = steps.filter(step => isOverdue(step, context) && !delays.isDelayed(step) && waits.isPassedBySmaller(step))
  holders.sort((one, other) => one.job.job.policy.priority - other.job.job.policy.priority ||
    other.shape.processors - one.shape.processors || waits.waitedMs(other, now) - waits.waitedMs(one, now))
  for (const step of holders) {
    for (const task of step.waiting) {
      // Interrupted tasks hold workers already, and those that may crash theirs start apart.
      if (!task.isInterrupted && !task.isOnTrial && !held.hold(task, workersFor(task), now)) break
    }
  }
  holdForIdleJobs(steps, workersFor, context)
}

// One worker for the batch job, and one for the filler, that come first of those that any worker can hold. An overdue filler
// beside jobs in time holds while the share may pay for it, as most pieces that come free fit only smaller ones.
const holdForIdleJobs = (steps: readonly StepRecord[], workersFor: (task: TaskRecord) => readonly WorkerRecord[], context: PlacingContext): void => {
  const { held, interference, waits, now } = context
  const isLongIdle = ({ job }: StepRecord): boolean => waits.idleJobs.idleMs(job, now) >= IDLE_HOLD_AFTER_MS
  const overdue = findOverdueSteps(steps, context).filter(step => step.shape.isFiller ? waits.idleJobs.share.allows(step) : isLongIdle(step))
  let isHeld = false
  let isHeldForFiller = false
  for (const step of [...overdue, ...findIdleSteps(steps, context).filter(isLongIdle)]) {
    if (isHeld && isHeldForFiller) break
    const [task] = step.waiting
    const { isFiller } = step.shape
    if (task === undefined || task.isOnTrial || (isFiller ? isHeldForFiller : isHeld)) continue
    if (isFiller) isHeldForFiller = held.holdForFiller(task, workersFor(task), interference, now)
    else if (waits.isPassedBySmaller(step)) isHeld = held.hold(task, workersFor(task), now)
  }
}

// Fillers use no processors that other tasks could hold.
const isOverdue = (step: StepRecord, { waits, now, wallTime }: PlacingContext): boolean => {
  const { shape } = step
  if (shape.isFiller) return false
  if (shape.isLasting) return waits.waitedMs(step, now) >= LONG_RUNNING_HOLD_AFTER_MS
  return timelinessOf(step, wallTime) !== USELESS && hasUsedSlack(step, wallTime)
}
