/**
 * Order in which waiting steps are placed.
 */
import { compareAcceptance } from './compareAcceptance.ts'
import { isOverdue } from './isOverdue.ts'
import type { PlacingContext } from './PlacingContext.ts'
import { ServiceCapacity } from './ServiceCapacity.ts'
import type { StepRecord } from './StepRecord.ts'
import { hasUsedSlack, IN_TIME, LATE, timelinessOf, USELESS } from './timeliness.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

type RankedStep = Readonly<{ step: StepRecord, timeliness: number, isOverdue: boolean, isPromoted: boolean, objectiveAt: number, work: number }>

/**
 * Returns the steps with waiting tasks, the most urgent first. When more tasks wait than fit, jobs that can no longer
 * meet their objective must not delay the others. Among jobs of equal priority, those with the least remaining work
 * come first, so that most jobs meet their objective; large jobs are promoted if too few of them are started. Overdue jobs
 * come first among the useless ones, in the order of their acceptance. Long-running steps come after tasks that end soon, in the order of their acceptance, as their work has no end to compare.
 *
 * @example
 * for (const step of orderSteps(openSteps, workers, context)) place(step)
 */
export const orderSteps = (steps: Iterable<StepRecord>, workers: readonly WorkerRecord[], context: PlacingContext): StepRecord[] => {
  const capacity = new ServiceCapacity(workers)
  const waiting: RankedStep[] = []
  for (const step of steps) {
    if (step.waiting.size === 0) continue
    const { job, occurrence } = step
    const isPromoted = promotes(step, capacity, context)
    const timeliness = timelinessOf(step, context.wallTime)
    waiting.push({
      step,
      // A promoted job has taken capacity from others, so it is completed even if it turns out to be late.
      timeliness: isPromoted && timeliness === LATE ? IN_TIME : timeliness,
      isOverdue: timeliness === USELESS && !step.shape.isLasting && isOverdue(step, context.wallTime),
      isPromoted,
      objectiveAt: job.objectiveAt(occurrence),
      work: job.remainingWork(occurrence)
    })
  }
  return waiting.sort(compareSteps).map(({ step }) => step)
}

// A job that can afford to wait behind smaller ones, or that would be late even if promoted, is not promoted.
const promotes = (step: StepRecord, capacity: ServiceCapacity, { fairness, now, wallTime }: PlacingContext): boolean => {
  const { job, occurrence, shape } = step
  if (shape.isLasting || fairness.isPromoted(step)) return fairness.isPromoted(step)
  if (timelinessOf(step, wallTime) !== IN_TIME || !hasUsedSlack(step, wallTime)) return false
  const shortestMs = job.remainingWork(occurrence) / capacity.of(job.job.policy.service)
  return wallTime + shortestMs <= job.objectiveAt(occurrence) && fairness.promoteIfBehind(step, now)
}

const compareSteps = (one: RankedStep, other: RankedStep): number => {
  if (one.timeliness !== other.timeliness) return one.timeliness - other.timeliness
  const { shape, job: { job } } = one.step
  const { shape: otherShape, job: { job: otherJob } } = other.step
  if (job.policy.priority !== otherJob.policy.priority) return job.policy.priority - otherJob.policy.priority
  if (shape.isLasting !== otherShape.isLasting) return Number(shape.isLasting) - Number(otherShape.isLasting)
  if (shape.isLasting) return job.acceptedAt - otherJob.acceptedAt
  if (one.isPromoted !== other.isPromoted) return Number(other.isPromoted) - Number(one.isPromoted)
  if (one.isOverdue !== other.isOverdue) return Number(other.isOverdue) - Number(one.isOverdue)
  if (one.isOverdue) return compareAcceptance(one.step, other.step)
  return one.work !== other.work ? one.work - other.work : one.objectiveAt - other.objectiveAt
}
