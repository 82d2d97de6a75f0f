/**
 * Steps of overdue jobs that have a share of the started work beside jobs in time.
 */
import { compareAcceptance } from './compareAcceptance.ts'
import { isOverdue } from './isOverdue.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'

/**
 * Returns the steps with waiting tasks of overdue jobs while jobs in time wait for the same processors, in
 * the order of their acceptance. Steps that wait for a rack by choice are left out.
 *
 * @example
 * const [acceptedFirst] = findOverdueSteps(steps, context)
 */
export const findOverdueSteps = (steps: readonly StepRecord[], { waits: { idleJobs: { share } }, delays, wallTime }: Pick<PlacingContext, 'waits' | 'delays' | 'wallTime'>): StepRecord[] =>
  steps
    .filter(step => step.waiting.size > 0 && !step.shape.isLasting && share.isBesideTimelyJobs(step) && isOverdue(step, wallTime) && !delays.isDelayed(step))
    .sort(compareAcceptance)
