/**
 * Decision whether a job is refused because too much accepted work waits already.
 */
import type { CellBacklog, PriorityBacklog } from './AcceptedBacklog.ts'
import { needsParticularWorkers } from './competesForProcessors.ts'
import { BACKLOG_RETURN_CYCLE_MS, FAIR_SIZE_SHARE, FULL_REFUSAL_LIMITS, MAX_WAITS_AGE_MS, MIN_RETRY_AFTER_MS } from './constants.ts'
import { fractionOf } from './fractionOf.ts'
import { JobRecord } from './JobRecord.ts'
import { processorKind } from './processorKind.ts'
import { sizeOfJob } from './sizeOfJob.ts'
import type { Job } from './types.ts'

/** The backlogs of the cells that could run a job, `undefined` for a cell that publishes none, and the age of the oldest. */
export type PublishedBacklogs = Readonly<{ cells: ReadonlyArray<CellBacklog | undefined>, ageMs: number }>

/** Why a job is refused: the backlog, the share of jobs of its size that is refused, and when its client may come back. */
export type BacklogRefusal = PriorityBacklog & Readonly<{ kind: 'backlog', share: number, retryAfterMs: number }>

/** Refused share up to which a client that comes back at its time is accepted while the backlog stays as it is. */
const KEPT_SHARE = 0.8
/** Smaller jobs, relative to the typical size, are refused as seldom as one of this size. */
const MIN_RELATIVE_SIZE = 0.1
/** What the refused share may rise by until a client comes back that is accepted all the same. */
const SHARE_MARGIN = 0.1

/**
 * Every accepted job has to be run, so what is accepted must not exceed what can be done for long. From the limit of the
 * backlog on a share of new jobs is refused, of large jobs sooner than of small ones, and all of them from
 * `FULL_REFUSAL_LIMITS` on. Which ones follows from the id and the time of the submission, the same in all processes: each
 * job has a place in a cycle that moves with the time, so that clients come back in the order of their places and are
 * accepted by whichever process they ask, unless the backlog has grown meanwhile. The cycle is slow, as a client whose result
 * would be useless when its place comes should not be accepted in place of a newcomer.
 *
 * @example
 * findBacklogRefusal(job, elections.backlogsFor(job))?.retryAfterMs // 3_200
 */
export const findBacklogRefusal = (job: Job, published: PublishedBacklogs | undefined): BacklogRefusal | undefined => {
  if (job.occurrences > 0 || job.steps.some(({ isLasting }) => isLasting)) return undefined
  if (published === undefined || published.ageMs > MAX_WAITS_AGE_MS) return undefined
  const backlog = smallestBacklog(job, published.cells)
  if (backlog === undefined) return undefined
  const share = shareOfSize(Math.min(1, Math.max(0, excessOf(backlog))), sizeOfJob(new JobRecord(job)) / backlog.typicalSize)
  const place = (fractionOf(job.id, 'backlog') + job.acceptedAt / BACKLOG_RETURN_CYCLE_MS) % 1
  if (place >= share) return undefined
  const { drainMs, limitMs } = backlog
  const untilPlaceMs = (Math.min(share, KEPT_SHARE) + SHARE_MARGIN - place) * BACKLOG_RETURN_CYCLE_MS
  const untilKeptMs = drainMs - (1 + KEPT_SHARE * (FULL_REFUSAL_LIMITS - 1)) * limitMs
  return { ...backlog, kind: 'backlog', share, retryAfterMs: Math.min(BACKLOG_RETURN_CYCLE_MS, Math.max(MIN_RETRY_AFTER_MS, untilPlaceMs, untilKeptMs)) }
}

// As the jobs with the least work come first, refusing large jobs leaves more that can end in time; all of them at a share of 1.
const shareOfSize = (share: number, relativeSize: number): number =>
  Math.min(share ** (1 / Math.max(MIN_RELATIVE_SIZE, relativeSize)), 1 - FAIR_SIZE_SHARE * (1 - share))

// 0 at the limit, 1 where all jobs are refused.
const excessOf = ({ drainMs, limitMs }: PriorityBacklog): number => (drainMs / limitMs - 1) / (FULL_REFUSAL_LIMITS - 1)

// The job may run in any of the cells, where it waits for the kind of its steps with the largest backlog, but not for what is less urgent.
const smallestBacklog = (job: Job, cells: PublishedBacklogs['cells']): PriorityBacklog | undefined => {
  const kinds = new Set(job.steps.filter(shape => !needsParticularWorkers(shape)).map(shape => processorKind(shape, job.policy)))
  let smallest: PriorityBacklog | undefined
  for (const cell of cells) {
    const largest = largestOf(cell ?? {}, kinds, job.policy.priority)
    if (largest === undefined) return undefined
    if (smallest === undefined || excessOf(largest) < excessOf(smallest)) smallest = largest
  }
  return smallest
}

const largestOf = (cell: CellBacklog, kinds: ReadonlySet<string>, priority: number): PriorityBacklog | undefined => {
  let largest: PriorityBacklog | undefined
  for (const kind of kinds) {
    const backlog = Object.hasOwn(cell, kind) ? cell[kind]?.findLast(one => one.priority <= priority) : undefined
    if (backlog !== undefined && (largest === undefined || excessOf(backlog) > excessOf(largest))) largest = backlog
  }
  return largest
}
