/**
 * Share of the started work that goes to idle jobs which can no longer meet their objective.
 */
import { IDLE_JOB_SHARE, MAX_IDLE_CREDIT_MS } from './constants.ts'
import type { ServiceCapacity } from './ServiceCapacity.ts'
import type { StepRecord } from './StepRecord.ts'
import { taskWork } from './taskWork.ts'

/**
 * Divides the started work between idle jobs and all others, as a scheduler with weighted queues does. Each started task
 * of the others adds a part of its work to a credit, from which the tasks of idle jobs are paid; the credit may be
 * overdrawn by one task, so that a task of any size gets its turn. Fillers and other tasks of each service have credits of
 * their own, as they don't compete for the same processors.
 *
 * @example
 * if (share.allows(idleStep)) share.charge(idleStep)
 * share.recordStart(otherStep, capacity)
 */
export class IdleJobShare {
  /** In thousandths of a core times milliseconds. */
  readonly #credits = new Map<string, number>()

  /** Whether a task of an idle job may start before those of jobs in time. */
  allows (step: StepRecord): boolean {
    return this.#creditOf(step) >= 0
  }

  /** Pays for the start of a task of an idle job. */
  charge (step: StepRecord): void {
    this.#credits.set(competitionKey(step), this.#creditOf(step) - taskWork(step.shape))
  }

  /** Adds to the credit for the start of a task of any other job. */
  recordStart (step: StepRecord, capacity: ServiceCapacity): void {
    if (step.shape.isLasting) return
    const limit = capacity.of(step.job.job.policy.service) * MAX_IDLE_CREDIT_MS
    const earned = taskWork(step.shape) * IDLE_JOB_SHARE / (1 - IDLE_JOB_SHARE)
    this.#credits.set(competitionKey(step), Math.min(limit, this.#creditOf(step) + earned))
  }

  #creditOf (step: StepRecord): number {
    return this.#credits.get(competitionKey(step)) ?? 0
  }
}

/**
 * Equal for steps whose tasks compete for the same processors.
 *
 * @example
 * competitionKey(step) // 'filler desk'
 */
export const competitionKey = ({ shape, job: { job: { policy: { service } } } }: StepRecord): string => `${shape.isFiller ? 'filler' : 'batch'} ${service}`
