/**
 * Tasks that one cell schedules for a job of another cell.
 */
import { brand, type CellId, type Instant, type JobId } from '@auburnpin/common'
import { HELD_RETURN_AFTER_MS, MIN_DELEGATED_INTERRUPTION_MS, MIN_DELEGATED_WAIT_MS, RETURN_AFTER_MS } from './constants.ts'
import { JobRecord } from './JobRecord.ts'
import { occurrencesWithProgress } from './occurrencesWithProgress.ts'
import { noProgress } from './ProgressSegment.ts'
import { isNamed, restoreAttempts } from './restoreStep.ts'
import type { StepRecord } from './StepRecord.ts'
import { TaskDelegation } from './TaskDelegation.ts'
import { parseTaskName } from './taskName.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { Delegation, Job, JobProgress } from './types.ts'
import type { WaitingSteps } from './WaitingSteps.ts'

/** Most tasks of one step, but interrupted ones, that are considered at once; a step in an overload has thousands. */
const MAX_WAITING_TASKS_PER_STEP = 16

/** What one cell tells another of the tasks that it has delegated to it, or got from it. */
export type DelegatedTasks = Readonly<{
  /** By `occurrence.step.index`. */
  delegations: Readonly<Record<string, Delegation>>
  /** State of these tasks. */
  progress: JobProgress
}>

/** What the delegations of a cell need from its scheduler. */
export abstract class DelegationHost {
  abstract readonly jobs: Map<JobId, JobRecord>
  abstract readonly openSteps: ReadonlySet<StepRecord>
  abstract readonly waits: WaitingSteps
  /** Whether a task of the step holds a worker of the cell until the tasks there have ended. */
  abstract isHolding (step: StepRecord): boolean
  /** Whether all runs of earlier owners of the cell are known or have certainly ended. */
  abstract get isReconciled (): boolean
  /** The first attempt number of the term. */
  abstract readonly firstAttempt: number
  /** Creates an occurrence unless it exists, and opens the steps that are ready. */
  abstract openOccurrence (job: JobRecord, occurrence: number, now: Instant, progress?: JobProgress): void
  abstract progressChanged (task: TaskRecord): void
  abstract taskStarted (task: TaskRecord): void
  abstract taskDone (task: TaskRecord, now: Instant): void
  abstract jobFailed (job: JobRecord, now: Instant): void
}

/**
 * A job belongs to one cell, its home. Tasks that have no place there can be delegated, each to one other cell at a time,
 * for which the job is a guest. The home cell stores the delegation before it tells the other cell, and from then on starts
 * no run of the task until the other cell has stored that it gives the task back, which it does only when no run of the
 * task exists or can still start. So at each moment at most one cell may start runs of a task.
 *
 * @example
 * for (const task of scheduler.delegations.waitingTasks(now)) scheduler.delegations.delegate(task, 'cell-1')
 */
export class TaskDelegations {
  readonly #host: DelegationHost
  readonly #guests = new Set<JobRecord>()
  readonly #withdrawn = new WeakSet<JobRecord>()

  constructor (host: DelegationHost) {
    this.#host = host
  }

  /** Jobs of other cells with tasks that were delegated to this one. */
  get guests (): ReadonlySet<JobRecord> {
    return this.#guests
  }

  /**
   * Tasks of this cell's jobs that have found no place here for some time: interrupted long-running ones first, the longest
   * first, then some of each step that waits.
   */
  waitingTasks (now: Instant): readonly TaskRecord[] {
    if (!this.#host.isReconciled) return []
    const interrupted: TaskRecord[] = []
    const others: TaskRecord[] = []
    for (const step of this.#host.openSteps) {
      if (step.waiting.size === 0 || !mayBeDelegated(step)) continue
      const hasWaited = this.#host.waits.hasWaitedSince(step, brand<Instant>(now - MIN_DELEGATED_WAIT_MS))
      let ofStep = 0
      for (const task of step.waiting) {
        // Only the owner that has observed the losses of workers can tell whether this task caused them.
        if (task.isOnTrial || task.crashes.areUncertain) continue
        if (!task.isInterrupted) {
          if (hasWaited && ++ofStep <= MAX_WAITING_TASKS_PER_STEP) others.push(task)
        } else if (task.mayRestart(now) && now - interruptedSince(task) >= MIN_DELEGATED_INTERRUPTION_MS) interrupted.push(task)
      }
    }
    return [...interrupted.sort((one, other) => interruptedSince(one) - interruptedSince(other)), ...others]
  }

  /** Stops scheduling a task here. Once this is durable, the other cell may be told of it. */
  delegate (task: TaskRecord, cell: CellId): void {
    const number = (task.delegation?.current.number ?? 0) + 1
    this.#change(task, { number, lastAttempt: task.highestAttempt(this.#host.firstAttempt), cell })
    task.step.waiting.delete(task)
    task.step.job.delegates.add(cell)
  }

  /** The tasks of a job that the store has as delegated to a cell and not done; none once the end of the job is stored. */
  delegatedTo (job: JobRecord, cell: CellId): DelegatedTasks {
    return describe(job, ({ delegation }) => {
      const stored = delegation?.stored
      return stored?.delegation.cell === cell && !stored.isDone && !job.isEndStored ? stored.delegation : undefined
    })
  }

  /** Applies what a cell has stored of the tasks that were delegated to it. Returns the tasks that it gives back. */
  applyReport (job: JobRecord, cell: CellId, { delegations, progress }: DelegatedTasks, now: Instant): readonly TaskRecord[] {
    const returned: TaskRecord[] = []
    for (const [key, { number, lastAttempt, cell: other }] of Object.entries(delegations)) {
      if (job.isFinal) break
      const task = findTask(job, key)
      const current = task?.delegation?.current
      if (task === undefined || current?.cell !== cell || current.number !== number) continue
      if (isNamed(progress.started?.[task.step.key], task)) this.#host.taskStarted(task)
      if (progress.phase === 'failed') this.#host.jobFailed(job, now)
      else if (isNamed(progress.done[task.step.key], task)) this.#host.taskDone(task, now)
      else if (other !== undefined) {
        restoreAttempts(task, progress)
        this.#change(task, { number, lastAttempt: Math.max(current.lastAttempt, lastAttempt) })
        task.step.queue(task)
        returned.push(task)
      }
    }
    return returned
  }

  /**
   * Takes over the tasks of another cell's job that `tasks` lists, unless they were given back already, and stops those that it
   * no longer lists. `stored` is what an earlier owner of this cell has stored of them.
   */
  accept (job: Job, home: CellId, tasks: DelegatedTasks, now: Instant, stored?: JobProgress): readonly TaskRecord[] {
    const record = this.#host.jobs.get(job.id) ?? this.#addGuest(job, home, now, stored)
    this.#withdrawn.delete(record)
    if (!record.isGuest || record.isFinal) return []
    const accepted: TaskRecord[] = []
    for (const [key, delegation] of Object.entries(tasks.delegations)) {
      const task = this.#acceptTask(record, key, delegation, tasks.progress, now)
      if (task !== undefined) accepted.push(task)
    }
    for (const task of record.tasks()) if (!task.isElsewhere && tasks.delegations[task.progressKey] === undefined) this.#withdraw(task, home)
    return accepted
  }

  #addGuest (job: Job, home: CellId, now: Instant, stored: JobProgress | undefined): JobRecord {
    const record = new JobRecord(job, false, home)
    this.#host.jobs.set(job.id, record)
    this.#guests.add(record)
    record.setPhase(stored?.phase ?? 'active')
    if (stored === undefined || record.isFinal) return record
    for (const occurrence of occurrencesWithProgress(stored)) this.#host.openOccurrence(record, occurrence, now, stored)
    return record
  }

  #acceptTask (record: JobRecord, key: string, { number, lastAttempt }: Delegation, progress: JobProgress, now: Instant): TaskRecord | undefined {
    const occurrence = occurrenceOf(key)
    if (occurrence === undefined || occurrence >= Math.max(1, record.job.occurrences)) return undefined
    this.#host.openOccurrence(record, occurrence, now)
    const task = findTask(record, key)
    if (task === undefined || (task.delegation?.current.number ?? 0) >= number) return undefined
    restoreAttempts(task, progress)
    task.hasRun = isNamed(progress.started?.[task.step.key], task)
    this.#change(task, { number, lastAttempt })
    this.#host.openOccurrence(record, occurrence, now)
    task.step.queue(task)
    return task
  }

  // The home cell has ended the delegation, so that the task needs no run any more.
  #withdraw (task: TaskRecord, home: CellId): void {
    this.#giveBack(task, home)
    for (const run of task.runs) run.isStopRequested = true
  }

  /** The home cell delegates nothing of a guest job any more. */
  withdrawAll (record: JobRecord): void {
    this.#withdrawn.add(record)
    if (record.home === undefined) return
    for (const task of record.tasks()) if (!task.isElsewhere) this.#withdraw(task, record.home)
  }

  /** Whether the home cell delegates nothing of a guest job any more. */
  isWithdrawn (record: JobRecord): boolean {
    return this.#withdrawn.has(record)
  }

  /** Gives back the delegated tasks that have found no place here either. Returns those tasks. */
  returnTasks (now: Instant): readonly TaskRecord[] {
    const returned: TaskRecord[] = []
    for (const record of this.#guests) {
      if (record.isFinal) continue
      for (const task of record.tasks()) {
        const { delegation } = task
        if (delegation === undefined || task.isElsewhere) continue
        const isWaiting = this.#host.isReconciled && task.step.waiting.has(task) && task.mayRestart(now) && !task.isOnTrial && !task.crashes.areUncertain
        delegation.waitingSince = isWaiting ? delegation.waitingSince ?? now : undefined
        if (delegation.waitingSince === undefined || now - delegation.waitingSince < this.#returnAfterMs(task)) continue
        this.#giveBack(task, record.home)
        returned.push(task)
      }
    }
    return returned
  }

  #returnAfterMs (task: TaskRecord): number {
    return task.isInterrupted && this.isHolding(task) ? HELD_RETURN_AFTER_MS : RETURN_AFTER_MS
  }

  /** Whether a worker of this cell is held for a task of the same step. */
  isHolding ({ step }: TaskRecord): boolean {
    return this.#host.isHolding(step)
  }

  #giveBack (task: TaskRecord, home: CellId | undefined): void {
    const number = task.delegation?.current.number ?? 0
    this.#change(task, { number, lastAttempt: task.highestAttempt(this.#host.firstAttempt), ...(home === undefined ? {} : { cell: home }) })
    task.step.waiting.delete(task)
  }

  /** What the store has of the tasks of a guest job that the home cell has to know: those that are done, given back or have run. */
  reportOf (record: JobRecord): DelegatedTasks {
    return describe(record, ({ delegation, runs }) => {
      const stored = delegation?.stored
      if (stored === undefined) return undefined
      const { cell, ...here } = stored.delegation
      if (cell !== undefined && runs.length === 0) return stored.delegation
      return stored.isDone || stored.hasRun ? here : undefined
    })
  }

  /** Whether a guest job may be forgotten: the home cell delegates nothing of it any more, and no run of it is left. */
  isOver (record: JobRecord): boolean {
    if (!this.#withdrawn.has(record)) return false
    for (const { runs } of record.tasks()) if (runs.length > 0) return false
    return true
  }

  /** A guest job is forgotten. */
  forget (record: JobRecord): void {
    this.#guests.delete(record)
  }

  #change (task: TaskRecord, next: Delegation): void {
    if (task.delegation === undefined) task.delegation = new TaskDelegation(next)
    else task.delegation.change(next)
    task.delegation.waitingSince = undefined
    task.knownRun = undefined
    task.nextKnownRun = undefined
    this.#host.progressChanged(task)
  }
}

// The tasks of a gang have to be started together.
const mayBeDelegated = ({ shape, job }: StepRecord): boolean =>
  !shape.isGang && !job.isGuest && !job.isFinal && job.movedTo === undefined

// Tasks whose last run ended in an earlier term come first.
const interruptedSince = ({ lastEnd }: TaskRecord): number => lastEnd?.at ?? 0

const findTask = (record: JobRecord, key: string): TaskRecord | undefined => {
  const parts = parseTaskName(`${record.job.id}.${key}`)
  return parts === undefined ? undefined : record.findTask(parts.occurrence, parts.step, parts.index)
}

const occurrenceOf = (key: string): number | undefined => parseTaskName(`job.${key}`)?.occurrence

// The phase is that of the job in the cell that describes it; `started` and `done` hold the given tasks only.
const describe = (record: JobRecord, delegationOf: (task: TaskRecord) => Delegation | undefined): DelegatedTasks => {
  const delegations: Record<string, Delegation> = {}
  const started: Record<string, number[]> = {}
  const done: Record<string, number[]> = {}
  const failed: Record<string, readonly number[]> = {}
  const crashed: Record<string, readonly number[]> = {}
  const checkpoints: Record<string, string> = {}
  for (const task of record.tasks()) {
    const delegation = delegationOf(task)
    if (delegation === undefined) continue
    const { progressKey: key, step, delegation: known } = task
    delegations[key] = delegation
    if (known?.stored?.hasRun === true) (started[step.key] ??= []).push(task.index)
    if (known?.stored?.isDone === true) (done[step.key] ??= []).push(task.index)
    // What changes with each run is told only of a task that is handed over.
    if (delegation.cell === undefined) continue
    if (task.failedAttempts.length > 0) failed[key] = [...task.failedAttempts]
    if (task.crashes.toStore.length > 0) crashed[key] = task.crashes.toStore
    if (task.checkpoint !== '') checkpoints[key] = task.checkpoint
  }
  const phase = record.phase === 'failed' && !record.isEndStored ? 'active' : record.phase
  return { delegations, progress: { ...noProgress(phase), started, done, failed, crashed, checkpoints } }
}
