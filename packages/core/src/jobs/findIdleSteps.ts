/**
 * Steps of jobs that have no run and can no longer meet their objective.
 */
import { IDLE_JOB_MS } from './constants.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import { LATE, timelinessOf, USELESS } from './timeliness.ts'

/**
 * Returns the steps with waiting tasks of such jobs, the longest idle first: of useless jobs, and while no job in time
 * waits for the same processors, of all late ones. Steps that wait for a rack by choice are left out.
 *
 * @example
 * const [longestIdle] = findIdleSteps(steps, context)
 */
export const findIdleSteps = (steps: readonly StepRecord[], { waits: { idleJobs }, delays, now, wallTime }: Pick<PlacingContext, 'waits' | 'delays' | 'now' | 'wallTime'>): StepRecord[] => {
  const idle = steps.filter(step => {
    if (step.shape.isLasting || step.waiting.size === 0 || idleJobs.idleMs(step.job, now) < IDLE_JOB_MS || delays.isDelayed(step)) return false
    const timeliness = timelinessOf(step, wallTime)
    return timeliness === USELESS || (timeliness === LATE && !idleJobs.share.isBesideTimelyJobs(step))
  })
  return idle.sort((one, other) => idleJobs.idleMs(other.job, now) - idleJobs.idleMs(one.job, now))
}
