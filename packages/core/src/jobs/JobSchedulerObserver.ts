/**
 * Changes of state of a scheduler of jobs that are logged and counted.
 */
import type { Attempt, WorkerId } from '@auburnpin/common'
import type { Lateness } from './findLateness.ts'
import type { JobRecord } from './JobRecord.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Receives the changes of state that are logged and counted. */
export abstract class JobSchedulerObserver {
  /**
   * `ending` is the worker's `RunEnding`, the `StartOutcome` of an order that started nothing, or a conclusion of the
   * scheduler: `vanished` or `not there` if a report does not list the run, `reborn` if the worker has a later
   * incarnation, `lease over` if its lease has expired, `not ordered` if the order was not sent after all.
   */
  abstract runEnded (run: RunRecord, ending: string, worker: WorkerId): void
  /** A second run of a task was ordered, as its first one is late. */
  abstract copyStarted (copy: RunRecord, lateness: Lateness): void
  abstract runStalled (run: RunRecord, worker: WorkerId): void
  abstract phaseChanged (job: JobRecord): void
  abstract workerQuarantined (worker: WorkerId, reason: string): void
  /** `suspects`: the tasks that had just started there, one of which may have crashed the worker. */
  abstract workerLost (worker: WorkerId, ending: string, suspects: readonly TaskRecord[]): void
  /** A later incarnation of a worker is known; it has the runs that calls for the earlier one may have started. */
  abstract workerReborn (current: WorkerRecord, earlier: WorkerRecord): void
  /** A worker lists a run whose order was meant for an earlier incarnation. */
  abstract runInherited (run: RunRecord): void
  /** A run of the task has ended, and no other starts until the order of this attempt can't be carried out any more. */
  abstract taskHeldBack (task: TaskRecord, worker: WorkerId, attempt: Attempt): void
  /** The job of the task fails, as workers were lost just after they had started the task. */
  abstract taskGivenUp (task: TaskRecord): void
}
