/**
 * Progress of jobs as earlier owners stored it.
 */
import type { JobId } from '@auburnpin/common'
import { noProgress, type JobPhase, type JobProgress } from '@auburnpin/core'
import type { StoredRow } from './RowStore.ts'
import { jobOfProgress, readProgress } from './rows.ts'

/**
 * Joins the rows of each job.
 *
 * @example
 * const stored = new StoredProgress()
 * for (const row of rows) stored.add(row)
 * scheduler.addJob(job, now, stored.of(job.id))
 */
export class StoredProgress {
  readonly #progress = new Map<JobId, JobProgress>()
  readonly #keys = new Map<JobId, string[]>()
  /** Tasks of these jobs that are done might run again, so the jobs are not scheduled. */
  readonly #damaged = new Set<JobId>()

  /** Adds a row, in ascending order of keys: what a job's first row says of a task yields to the row of its segment. */
  add ({ key, value }: StoredRow): void {
    const job = jobOfProgress(key)
    const progress = readProgress(value)
    if (progress === undefined) {
      this.#damaged.add(job)
      return
    }
    const earlier = this.#progress.get(job)
    this.#progress.set(job, earlier === undefined ? progress : mergeProgress(earlier, progress))
    this.#keys.set(job, [...this.#keys.get(job) ?? [], key])
  }

  of (job: JobId): JobProgress | undefined {
    return this.#progress.get(job)
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

type TaskIndexes = JobProgress['done']

/**
 * The progress that two rows of a job hold together.
 *
 * @example
 * mergeProgress({ ...noProgress('active'), done: { '0.0': [1] } }, { ...noProgress('active'), done: { '0.0': [101] } }).done // { '0.0': [1, 101] }
 */
export const mergeProgress = (one: JobProgress, other: JobProgress): JobProgress => {
  const phase = latestPhase(one.phase, other.phase)
  const movedTo = one.movedTo ?? other.movedTo
  return {
    ...noProgress(phase),
    done: mergeIndexes(one.done, other.done),
    ...(one.started === undefined && other.started === undefined ? {} : { started: mergeIndexes(one.started ?? {}, other.started ?? {}) }),
    failed: { ...one.failed, ...other.failed },
    checkpoints: { ...one.checkpoints, ...other.checkpoints },
    crashed: { ...one.crashed, ...other.crashed },
    delegations: { ...one.delegations, ...other.delegations },
    isDivided: one.isDivided === true && other.isDivided === true,
    ...(movedTo === undefined ? {} : { movedTo })
  }
}

// A final phase never changes, and no job returns to `queued`.
const latestPhase = (one: JobPhase, other: JobPhase): JobPhase => one === 'queued' || (one === 'active' && other !== 'queued') ? other : one

const mergeIndexes = (one: TaskIndexes, other: TaskIndexes): TaskIndexes => {
  const merged: Record<string, readonly number[] | 'all'> = { ...one }
  for (const [key, indexes] of Object.entries(other)) {
    const before = merged[key]
    merged[key] = before === 'all' || indexes === 'all' ? 'all' : [...new Set([...before ?? [], ...indexes])]
  }
  return merged
}
