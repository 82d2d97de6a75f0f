/**
 * Detection of tasks that crash the workers that start them.
 */
import type { Instant, WorkerId } from '@auburnpin/common'
import { CRASHES_TO_GIVE_UP, MIN_SURVIVAL_MS } from '../constants.ts'
import type { JobRecord } from './JobRecord.ts'
import type { StepRecord } from './StepRecord.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import { WorkerLosses, type Suspect } from './WorkerLosses.ts'
import type { WorkerIncarnation } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** What the detector needs from the scheduler. */
export abstract class CrashHost {
  /** Whether the runs of earlier owners are known or have ended, as far as they concern the job. */
  abstract areRunsKnown (job: JobRecord): boolean
  /** The task's progress must be stored. */
  abstract progressChanged (task: TaskRecord): void
  /** `suspects`: the tasks that had just started on a worker that was lost. */
  abstract workerLost (worker: WorkerId, ending: string, suspects: readonly TaskRecord[]): void
  /** The task crashes workers, so its job can't be done. */
  abstract giveUp (task: TaskRecord, now: Instant): void
}

/**
 * Counts, for each task, the workers that were lost just after they had started it. A worker runs other tasks as well
 * when it is lost; these are told apart as they survive their next start. A task that two workers were lost under is on
 * trial: it starts only where no other run has just started, and none starts beside it. With the third loss its job
 * fails; with the fourth, if other workers were lost at the same time as the third. Workers that drain don't count, nor do
 * those that turn out to be alive.
 *
 * @example
 * detector.observe(workers, now)
 * for (const run of runs) detector.runReported(run, report.clockMs)
 */
export class CrashDetector {
  readonly #host: CrashHost
  readonly #losses = new WorkerLosses()
  #wereEarlierWorkersLost = false
  /** A few of them may have been cleared since. */
  readonly #onTrial = new Set<TaskRecord>()

  constructor (host: CrashHost) {
    this.#host = host
  }

  /** The tasks on trial; a few of them may have been cleared since. */
  get tasksOnTrial (): Iterable<TaskRecord> {
    return this.#onTrial
  }

  /** The tasks of these steps were restored from the progress of an earlier owner. */
  restore (steps: readonly StepRecord[], now: Instant): void {
    for (const { tasks } of steps) {
      for (const task of tasks) {
        for (const { attempt, worker } of task.recordedCrashes?.runsToStore ?? []) this.#losses.restore(worker, { task, attempt }, now)
        if (task.isOnTrial) this.#onTrial.add(task)
      }
    }
  }

  /** Counts losses as soon as workers are silent, so that they are stored in time, and gives up the tasks that caused them. */
  observe (workers: ReadonlyMap<WorkerId, WorkerRecord>, now: Instant): void {
    this.#losses.forgetOld(now)
    for (const worker of workers.values()) if (worker.isUnresponsive) this.#countLoss(worker, now)
    this.#withdraw(this.#losses.withdrawListed(workers, now))
    for (const task of this.#onTrial) this.#decide(task, workers, now)
  }

  /**
   * Whether an attempt must be stored before it is ordered, so that a loss counts even if this owner doesn't live to store
   * it: a worker was lost under the task, or maybe under an earlier owner's run of it that no one knows.
   */
  mustAnnounce ({ crashes, step: { job } }: TaskRecord): boolean {
    return crashes.count > 0 || (this.#wereEarlierWorkersLost && !job.isNewInTerm && !crashes.hasSurvived)
  }

  /** A worker that an earlier owner used was lost before it reported to this one. */
  earlierWorkerLost (): void {
    this.#wereEarlierWorkersLost = true
  }

  #decide (task: TaskRecord, workers: ReadonlyMap<WorkerId, WorkerRecord>, now: Instant): void {
    const { crashes, isOnTrial, runs, isDone, step: { job } } = task
    if (!isOnTrial || isDone || job.isFinal) {
      this.#onTrial.delete(task)
      return
    }
    if (crashes.count < CRASHES_TO_GIVE_UP || runs.length > 0 || !this.#host.areRunsKnown(job)) return
    crashes.areUncertain = this.#losses.isUncertain(task, workers)
    if (crashes.areUncertain) return
    if (crashes.count > CRASHES_TO_GIVE_UP || this.#losses.wasLastAlone(task, now)) this.#host.giveUp(task, now)
  }

  /** All runs of a worker are about to end, or to be kept for its next incarnation. */
  workerLost (worker: WorkerRecord, ending: string, now: Instant): void {
    if (worker.runs.size === 0) return
    this.#countLoss(worker, now)
    this.#host.workerLost(worker.entry.id, ending, [...worker.runs.values()].filter(mayHaveCrashed).map(({ task }) => task))
  }

  #countLoss (worker: WorkerRecord, now: Instant): void {
    if (worker.entry.isDraining) return
    const suspects: RunRecord[] = []
    for (const run of worker.runs.values()) if (mayHaveCrashed(run) && this.#count(run)) suspects.push(run)
    this.#losses.add(worker.entry, suspects, now)
  }

  #count (run: RunRecord): boolean {
    const { task, attempt } = run
    const { isDone, step: { job } } = task
    if (isDone || job.isFinal || !task.crashes.add(attempt, lostWorker(run))) return false
    if (task.isOnTrial) this.#onTrial.add(task)
    this.#host.progressChanged(task)
    return true
  }

  #withdraw (runs: readonly Suspect[]): void {
    for (const { task, attempt } of runs) this.attemptReported(task, attempt)
  }

  /** A worker has reported, so it was not lost. */
  workerReported ({ entry }: WorkerRecord): void {
    this.#withdraw(this.#losses.withdraw(entry))
  }

  /** A worker has listed an attempt as running or ended, so it was not lost. */
  attemptReported (task: TaskRecord, attempt: RunRecord['attempt']): void {
    if (!task.crashes.withdraw(attempt)) return
    task.crashes.areUncertain = false
    this.#host.progressChanged(task)
  }

  /** A worker, at this time of its clock, has listed a run as running. */
  runReported (run: RunRecord, clockMs: number): void {
    const { task, worker, attempt } = run
    this.attemptReported(task, attempt)
    if (run.hasSurvivedStart) return
    run.confirmedAtClockMs ??= clockMs
    if (clockMs - run.confirmedAtClockMs < MIN_SURVIVAL_MS) return
    run.hasSurvivedStart = true
    worker.suspects.delete(run)
    if (task.crashes.clear()) this.#host.progressChanged(task)
  }

  /** A run has ended for whatever reason. */
  runEnded ({ task, attempt }: RunRecord): void {
    if (task.crashes.endAnnouncement(attempt)) this.#host.progressChanged(task)
  }

  /** A run that was ordered from an incarnation that is lost isn't on the next one. */
  runMissing (run: RunRecord): void {
    if (run.isFromLostIncarnation) this.#count(run)
  }
}

// A run that an order for an earlier incarnation may have started was lost with that one.
const lostWorker = ({ worker, sentTo, isFromLostIncarnation }: RunRecord): WorkerIncarnation | undefined => isFromLostIncarnation ? sentTo?.entry : worker.entry

const mayHaveCrashed = ({ state, hasSurvivedStart }: RunRecord): boolean => state !== 'ordered' && !hasSurvivedStart
