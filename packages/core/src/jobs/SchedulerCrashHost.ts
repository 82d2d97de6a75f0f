/**
 * What the detection of tasks that crash workers needs from the scheduler.
 */
import type { Instant, WorkerId } from '@auburnpin/common'
import { CrashHost } from './CrashDetector.ts'
import type { JobRecord } from './JobRecord.ts'
import type { JobScheduler } from './JobScheduler.ts'
import type { TaskRecord } from './TaskRecord.ts'

export class SchedulerCrashHost extends CrashHost {
  readonly #scheduler: JobScheduler

  constructor (scheduler: JobScheduler) {
    super()
    this.#scheduler = scheduler
  }

  areRunsKnown ({ isNewInTerm }: JobRecord): boolean {
    return isNewInTerm || this.#scheduler.isReconciled
  }

  progressChanged (task: TaskRecord): void {
    this.#scheduler.progressChanged(task)
  }

  workerLost (worker: WorkerId, ending: string, suspects: readonly TaskRecord[]): void {
    this.#scheduler.workerLost(worker, ending, suspects)
  }

  giveUp (task: TaskRecord, now: Instant): void {
    this.#scheduler.giveUp(task, now)
  }
}
