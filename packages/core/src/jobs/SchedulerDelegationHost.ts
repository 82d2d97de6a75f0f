/**
 * What the delegations of a cell need from its scheduler.
 */
import type { Instant, JobId } from '@auburnpin/common'
import type { JobRecord } from './JobRecord.ts'
import type { JobScheduler } from './JobScheduler.ts'
import type { StepRecord } from './StepRecord.ts'
import { DelegationHost } from './TaskDelegations.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobProgress } from './types.ts'
import type { WaitingSteps } from './WaitingSteps.ts'

export class SchedulerDelegationHost extends DelegationHost {
  readonly #scheduler: JobScheduler
  readonly firstAttempt: number
  readonly openSteps: ReadonlySet<StepRecord>

  constructor (scheduler: JobScheduler, firstAttempt: number, openSteps: ReadonlySet<StepRecord>) {
    super()
    this.#scheduler = scheduler
    this.firstAttempt = firstAttempt
    this.openSteps = openSteps
  }

  get jobs (): Map<JobId, JobRecord> {
    return this.#scheduler.jobs
  }

  get waits (): WaitingSteps {
    return this.#scheduler.waits
  }

  isHolding (step: StepRecord): boolean {
    return this.#scheduler.held.isHolder(step)
  }

  get isReconciled (): boolean {
    return this.#scheduler.isReconciled
  }

  openOccurrence (job: JobRecord, occurrence: number, now: Instant, progress?: JobProgress): void {
    this.#scheduler.openOccurrence(job, occurrence, now, progress)
  }

  progressChanged (task: TaskRecord): void {
    this.#scheduler.progressChanged(task)
  }

  taskStarted (task: TaskRecord): void {
    this.#scheduler.startedElsewhere(task)
  }

  taskDone (task: TaskRecord, now: Instant): void {
    this.#scheduler.doneElsewhere(task, now)
  }

  jobFailed (job: JobRecord, now: Instant): void {
    this.#scheduler.failJob(job, now)
  }
}
