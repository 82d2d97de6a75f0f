/**
 * Share of the started work that goes to overdue and idle jobs, which can no longer meet their objective.
 */
import { IDLE_JOB_SHARE, IDLE_JOB_SHARE_BESIDE_LATE, MAX_IDLE_CREDIT_MS, MAX_IDLE_DEBT_MS } from './constants.ts'
import { processorKind } from './processorKind.ts'
import type { ServiceCapacity } from './ServiceCapacity.ts'
import type { StepRecord } from './StepRecord.ts'
import { taskWork } from './taskWork.ts'
import { IN_TIME, LATE, timelinessOf } from './timeliness.ts'

/**
 * Divides the started work between these jobs and all others, as a scheduler with weighted queues does. Each started task
 * of the others adds a part of its work to a credit, from which their tasks are paid; the credit may be
 * overdrawn by one task, so that a task of any size gets its turn. Fillers and other tasks of each service have credits of
 * their own, as they don't compete for the same processors.
 *
 * @example
 * share.startPass(waitingSteps, capacity, wallTime)
 * if (share.allows(overdueStep)) share.charge(overdueStep)
 * share.recordStart(otherStep)
 */
export class IdleJobShare {
  /** In thousandths of a core times milliseconds. */
  readonly #credits = new Map<string, number>()
  /** The least timeliness of the jobs that wait, by what they compete for. */
  #contention = new Map<string, number>()
  #capacity: ServiceCapacity | undefined

  /** Notes which jobs wait in this scheduling pass. */
  startPass (steps: Iterable<StepRecord>, capacity: ServiceCapacity, wallTime: number): void {
    this.#capacity = capacity
    this.#contention = new Map()
    for (const step of steps) {
      const key = kindOf(step)
      this.#contention.set(key, Math.min(this.#contention.get(key) ?? Infinity, timelinessOf(step, wallTime)))
    }
  }

  /** Whether jobs that can still meet their objective wait for the same processors. */
  isBesideTimelyJobs (step: StepRecord): boolean {
    return this.#contention.get(kindOf(step)) === IN_TIME
  }

  /** Whether jobs that are still useful to their clients wait for the same processors. */
  isBesideUsefulJobs (step: StepRecord): boolean {
    return (this.#contention.get(kindOf(step)) ?? Infinity) <= LATE
  }

  /** Whether a task of such a job may start before those of jobs that are still useful. */
  allows (step: StepRecord): boolean {
    return !this.isBesideUsefulJobs(step) || this.#creditOf(step) >= 0
  }

  /** Pays for the start of such a task, unless no useful job waits. */
  charge (step: StepRecord): void {
    if (this.isBesideUsefulJobs(step)) this.#credits.set(kindOf(step), Math.max(this.#creditOf(step) - taskWork(step.shape), -this.#processorsFor(step) * MAX_IDLE_DEBT_MS))
  }

  /** Adds to the credit for the start of a task of any other job. */
  recordStart (step: StepRecord): void {
    if (step.shape.isLasting) return
    const share = this.isBesideTimelyJobs(step) ? IDLE_JOB_SHARE : IDLE_JOB_SHARE_BESIDE_LATE
    const earned = taskWork(step.shape) * share / (1 - share)
    this.#credits.set(kindOf(step), Math.min(this.#processorsFor(step) * MAX_IDLE_CREDIT_MS, this.#creditOf(step) + earned))
  }

  #creditOf (step: StepRecord): number {
    return this.#credits.get(kindOf(step)) ?? 0
  }

  #processorsFor (step: StepRecord): number {
    return this.#capacity?.of(step.job.job.policy.service) ?? 0
  }
}

const kindOf = ({ shape, job: { job: { policy } } }: StepRecord): string => processorKind(shape, policy)
