/**
 * Refusal of jobs whose tasks an owner can't keep in memory.
 */
import type { Instant } from '@auburnpin/common'
import { mostKeptTasks, type Job } from '@auburnpin/core'
import { MAX_KEPT_TASKS } from './constants.ts'

/** Tasks that the owner of the cell with the fewest keeps, as last published, and the age of that in milliseconds. */
export type PublishedTasks = Readonly<{ tasks: number, ageMs: number }>

/** Why a job is refused, and when its client may come back. */
export type KeptTasksRefusal = Readonly<{ kind: 'memory', tasks: number, keptTasks: number, retryAfterMs: number }>

type Acceptance = Readonly<{ tasks: number, at: Instant }>

/** Share of what is left that one process accepts before it sees it published, as others accept jobs as well. */
const MAX_SHARE_OF_REST = 0.25
/** By then what a process accepts is published. */
const PUBLICATION_MS = 2_000

/**
 * An owner keeps a record of each open task, so what is accepted must not exceed its memory. The published number is older
 * than a burst of large jobs, so each process counts what it has accepted since.
 *
 * @example
 * const refusal = limit.findRefusal(job, published, now)
 * if (refusal === undefined) limit.recordAcceptance(job, now)
 */
export class KeptTasksLimit {
  #recent: Acceptance[] = []

  /** The refusal of a job; `undefined` if its tasks can be kept, or if nothing is published. */
  findRefusal (job: Job, published: PublishedTasks | undefined, now: Instant): KeptTasksRefusal | undefined {
    if (published === undefined) return undefined
    this.#recent = this.#recent.filter(({ at }) => now - at < PUBLICATION_MS)
    const tasks = mostKeptTasks(job)
    const rest = Math.max(0, MAX_KEPT_TASKS - published.tasks)
    const recent = this.#recent.reduce((sum, acceptance) => sum + acceptance.tasks, 0)
    if (recent + tasks <= rest * MAX_SHARE_OF_REST) return undefined
    return { kind: 'memory', tasks, keptTasks: published.tasks, retryAfterMs: PUBLICATION_MS }
  }

  recordAcceptance (job: Job, now: Instant): void {
    this.#recent.push({ tasks: mostKeptTasks(job), at: now })
  }
}
