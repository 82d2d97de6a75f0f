/**
 * Progress of jobs as earlier owners stored it.
 */
import type { Epoch, JobId } from '@auburnpin/common'
import { noProgress, type Delegation, type JobPhase, type JobProgress, type KnownRun, type SuspectedRun } from '@auburnpin/core'
import type { StoredRow } from './RowStore.ts'
import { jobOfProgress, readProgress } from './rows.ts'

/**
 * Joins the rows of each job.
 *
 * @example
 * const stored = new StoredProgress()
 * for (const row of rows) stored.add(row, knownRunsSince)
 * scheduler.addJob(job, now, stored.of(job.id))
 */
export class StoredProgress {
  readonly #progress = new Map<JobId, JoinedProgress>()
  readonly #keys = new Map<JobId, string[]>()
  /** Tasks of these jobs that are done might run again, so the jobs are not scheduled. */
  readonly #damaged = new Set<JobId>()

  /**
   * Adds a row, in ascending order of keys: what a job's first row says of a task yields to the row of its segment. Known runs
   * hold if they were recorded in the term `knownRunsSince` or later.
   */
  add ({ key, value }: StoredRow, knownRunsSince: Epoch): void {
    const job = jobOfProgress(key)
    const progress = readProgress(value)
    if (progress === undefined) {
      this.#damaged.add(job)
      return
    }
    const earlier = this.#progress.get(job)
    if (earlier === undefined) this.#progress.set(job, new JoinedProgress(progress, knownRunsSince))
    else earlier.add(progress)
    const keys = this.#keys.get(job)
    if (keys === undefined) this.#keys.set(job, [key])
    else keys.push(key)
  }

  of (job: JobId): JobProgress | undefined {
    return this.#progress.get(job)?.progress
  }

  /** Jobs with a row that cannot be read. */
  get damaged (): ReadonlySet<JobId> {
    return this.#damaged
  }

  /** Keys of the readable rows of jobs that don't exist. */
  keysOfMissing (jobs: ReadonlySet<string>): string[] {
    return [...this.#keys].flatMap(([job, keys]) => jobs.has(job) ? [] : keys)
  }

  /** Forgets all but which jobs are damaged. */
  clear (): void {
    this.#progress.clear()
    this.#keys.clear()
  }
}

type TaskIndexes = Record<string, readonly number[] | 'all'>

/**
 * The progress that several rows of a job hold together. Rows are added in place, as a job may have a thousand of them.
 *
 * @example
 * const joined = new JoinedProgress({ ...noProgress('active'), done: { '0.0': [1] } }, knownRunsSince)
 * joined.add({ ...noProgress('active'), done: { '0.0': [101] } })
 * joined.progress.done // { '0.0': [1, 101] }
 */
class JoinedProgress {
  readonly #done: TaskIndexes = {}
  readonly #started: TaskIndexes = {}
  readonly #failed: Record<string, readonly number[]> = {}
  readonly #checkpoints: Record<string, string> = {}
  readonly #crashed: Record<string, readonly number[]> = {}
  readonly #crashedOn: Record<string, readonly SuspectedRun[]> = {}
  readonly #knownRuns: Record<string, KnownRun> = {}
  readonly #delegations: Record<string, Delegation> = {}
  readonly #knownRunsSince: Epoch
  #phase: JobPhase
  #hasStarted = false
  #isDivided = true
  #movedTo: JobProgress['movedTo']

  constructor (first: JobProgress, knownRunsSince: Epoch) {
    this.#knownRunsSince = knownRunsSince
    this.#phase = first.phase
    this.add(first)
  }

  add ({ phase, done, started, failed, checkpoints, crashed, crashedOn, knownRuns, delegations, isDivided, movedTo }: JobProgress): void {
    this.#phase = latestPhase(this.#phase, phase)
    joinIndexes(this.#done, done)
    joinIndexes(this.#started, started ?? {})
    this.#hasStarted ||= started !== undefined
    Object.assign(this.#failed, failed)
    Object.assign(this.#checkpoints, checkpoints)
    Object.assign(this.#crashed, crashed)
    Object.assign(this.#crashedOn, crashedOn)
    for (const [task, run] of Object.entries(knownRuns ?? {})) if (run.epoch >= this.#knownRunsSince) this.#knownRuns[task] = run
    Object.assign(this.#delegations, delegations)
    this.#isDivided &&= isDivided === true
    this.#movedTo ??= movedTo
  }

  get progress (): JobProgress {
    return {
      ...noProgress(this.#phase),
      done: this.#done,
      ...(this.#hasStarted ? { started: this.#started } : {}),
      failed: this.#failed,
      checkpoints: this.#checkpoints,
      crashed: this.#crashed,
      crashedOn: this.#crashedOn,
      knownRuns: this.#knownRuns,
      delegations: this.#delegations,
      isDivided: this.#isDivided,
      ...(this.#movedTo === undefined ? {} : { movedTo: this.#movedTo })
    }
  }
}

// A final phase never changes, and no job returns to `queued`.
const latestPhase = (one: JobPhase, other: JobPhase): JobPhase => one === 'queued' || (one === 'active' && other !== 'queued') ? other : one

const joinIndexes = (joined: TaskIndexes, added: JobProgress['done']): void => {
  for (const [key, indexes] of Object.entries(added)) {
    const before = joined[key]
    joined[key] = before === undefined ? indexes : before === 'all' || indexes === 'all' ? 'all' : [...new Set([...before, ...indexes])]
  }
}
