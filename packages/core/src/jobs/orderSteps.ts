/**
 * Order in which waiting steps are placed.
 */
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import { timelinessOf } from './timeliness.ts'

type RankedStep = Readonly<{ step: StepRecord, timeliness: number, objectiveAt: number, work: number }>

/**
 * Returns the steps with waiting tasks, the most urgent first. When more tasks wait than fit, jobs that can no longer
 * meet their objective must not delay the others. Among jobs of equal priority, those with the least remaining work
 * come first, so that most jobs meet their objective. Long-running steps come after tasks that end soon, in the order of
 * their acceptance, as their work has no end to compare.
 *
 * @example
 * for (const step of orderSteps(openSteps, context)) place(step)
 */
export const orderSteps = (steps: Iterable<StepRecord>, { wallTime }: PlacingContext): StepRecord[] => {
  const waiting: RankedStep[] = []
  for (const step of steps) {
    if (step.waiting.size === 0) continue
    const { job, occurrence } = step
    waiting.push({ step, timeliness: timelinessOf(step, wallTime), objectiveAt: job.objectiveAt(occurrence), work: job.remainingWork(occurrence) })
  }
  return waiting.sort(compareSteps).map(({ step }) => step)
}

const compareSteps = (one: RankedStep, other: RankedStep): number => {
  if (one.timeliness !== other.timeliness) return one.timeliness - other.timeliness
  const { shape, job: { job } } = one.step
  const { shape: otherShape, job: { job: otherJob } } = other.step
  if (job.policy.priority !== otherJob.policy.priority) return job.policy.priority - otherJob.policy.priority
  if (shape.isLasting !== otherShape.isLasting) return Number(shape.isLasting) - Number(otherShape.isLasting)
  if (shape.isLasting) return job.acceptedAt - otherJob.acceptedAt
  return one.work !== other.work ? one.work - other.work : one.objectiveAt - other.objectiveAt
}
