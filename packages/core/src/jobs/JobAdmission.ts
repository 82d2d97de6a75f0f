/**
 * Decision whether a job is accepted or refused at once.
 */
import type { Instant, JobId, QueueName } from '@auburnpin/common'
import { ADMISSION_SHARE_FALL_MS, FAIR_SIZE_SHARE, FIRST_REFUSAL_SHARE, MAX_REMEMBERED_REFUSALS, MAX_RETRY_AFTER_MS, MAX_WAITS_AGE_MS, MIN_RETRY_AFTER_MS, REFUSAL_DISCOUNT, SIZE_BAND_SHARES } from './constants.ts'
import { fractionOf } from './fractionOf.ts'
import { JobRecord } from './JobRecord.ts'
import type { Job } from './types.ts'
import type { CellWaits, QueueWait } from './WaitForecast.ts'

/** Forecasts of the cells that could run a job, `undefined` for a cell without one, and the age of the oldest. */
export type PublishedWaits = Readonly<{ cells: ReadonlyArray<CellWaits | undefined>, ageMs: number }>

/** Why a job is accepted, or the inputs of its refusal. */
export type AdmissionDecision =
  | Readonly<{ kind: 'accept', why: 'always accepted' | 'no recent forecast' | 'no wait' | 'share' }>
  | Readonly<{ kind: 'refuse', retryAfterMs: number, waitMs: number, slackMs: number, usefulMs: number, share: number, refusals: number }>

type Refusal = Readonly<{ times: number, returnsAt: Instant }>

/** Milliseconds that a job may wait before it misses its objective, and before it is useless; and its size in core-milliseconds. */
type JobLimits = Readonly<{ slackMs: number, usefulMs: number, size: number }>

const MILLICORES = 1_000

/**
 * Decides for one process that clients talk to. It addresses loads of up to three times what the workers can do, in
 * which most jobs would otherwise wait until they are useless. The refused share of a band of job sizes rises with its
 * forecast wait, and a hash of the job's id decides which jobs that is, so that processes which see the same forecast
 * neither refuse nor accept all jobs at once. The share rises at once and falls slowly, so that refusals don't
 * oscillate with the load. No band's accepted share is below `FAIR_SIZE_SHARE` of that of its queue.
 *
 * @example
 * const decision = admission.decide(job, published, now)
 * if (decision.kind === 'refuse') refuse(decision.retryAfterMs)
 */
export class JobAdmission {
  readonly #refusals = new Map<JobId, Refusal>()
  readonly #shares = new Map<QueueName, FallingShares>()

  /** Decides on a job; a refusal takes effect only once `recordRefusal` is called. */
  decide (job: Job, published: PublishedWaits | undefined, now: Instant): AdmissionDecision {
    if (job.occurrences > 0 || job.steps.some(({ isLasting }) => isLasting)) return { kind: 'accept', why: 'always accepted' }
    if (published === undefined || published.ageMs > MAX_WAITS_AGE_MS || published.cells.length === 0) return { kind: 'accept', why: 'no recent forecast' }
    const limits = limitsOf(job)
    const wait = shortestWait(job.queue, published.cells, limits)
    if (wait === undefined) {
      this.#shares.delete(job.queue)
      return { kind: 'accept', why: 'no wait' }
    }
    const share = this.#shareOf(job.queue, wait, limits, now)
    const refusal = this.#refusals.get(job.id)
    // An early retry is not preferred.
    const times = refusal === undefined ? 0 : refusal.times - Number(now < refusal.returnsAt)
    const ownShare = share < 1 ? share * REFUSAL_DISCOUNT ** times : share
    if (fractionOf(job.id, 'share') >= ownShare) return { kind: 'accept', why: 'share' }
    const waitMs = wait.waits[bandOf(wait, limits.size)] ?? 0
    return { kind: 'refuse', retryAfterMs: retryAfterMs(job.id, waitMs, limits, times, now), waitMs, slackMs: Math.round(limits.slackMs), usefulMs: Math.round(limits.usefulMs), share: ownShare, refusals: times }
  }

  /** Remembers a refusal, so that the job is preferred once it comes back at its time. */
  recordRefusal (id: JobId, retryAfterMs: number, now: Instant): void {
    const before = this.#refusals.get(id)
    const times = before === undefined ? 1 : before.times + Number(now >= before.returnsAt)
    this.#refusals.delete(id)
    this.#refusals.set(id, { times, returnsAt: (now + retryAfterMs) as Instant })
    const [oldest] = this.#refusals.keys()
    if (this.#refusals.size > MAX_REMEMBERED_REFUSALS && oldest !== undefined) this.#refusals.delete(oldest)
  }

  /** Forgets the refusals of a job that was accepted. */
  recordAcceptance (id: JobId): void {
    this.#refusals.delete(id)
  }

  #shareOf (queue: QueueName, wait: QueueWait, limits: JobLimits, now: Instant): number {
    const falling = this.#shares.get(queue) ?? new FallingShares()
    this.#shares.set(queue, falling)
    const band = bandOf(wait, limits.size)
    return falling.update(band, fairShare(wait, limits, band), now)
  }
}

/** For each band the refused share, which rises at once and falls slowly. */
class FallingShares {
  readonly #shares = new Map<number, Readonly<{ share: number, at: Instant }>>()

  update (band: number, target: number, now: Instant): number {
    const before = this.#shares.get(band)
    const share = before === undefined ? target : Math.max(target, before.share - (now - before.at) / ADMISSION_SHARE_FALL_MS)
    this.#shares.set(band, { share, at: now })
    return share
  }
}

const limitsOf = (job: Job): JobLimits => {
  const record = new JobRecord(job)
  const objectiveMs = record.objectiveAt(0) - job.acceptedAt
  const { slackMs, totalWork } = record
  return { slackMs, usefulMs: record.uselessAfter(0) - job.acceptedAt - (objectiveMs - slackMs), size: totalWork / MILLICORES }
}

const bandOf = ({ sizes }: QueueWait, size: number): number => {
  const band = sizes.findIndex(bound => size <= bound)
  return band < 0 ? sizes.length : band
}

// The job may run in any of the cells; `undefined` if one of them has no forecast for it.
const shortestWait = (queue: QueueName, cells: PublishedWaits['cells'], limits: JobLimits): QueueWait | undefined => {
  let shortest: QueueWait | undefined
  for (const waits of cells) {
    if (waits === undefined || !Object.hasOwn(waits, queue)) return undefined
    const wait = waits[queue] as QueueWait
    if (shortest === undefined || refusedShare(wait, limits, bandOf(wait, limits.size)) < refusedShare(shortest, limits, bandOf(shortest, limits.size))) shortest = wait
  }
  return shortest
}

// A job that has used its slack comes after all that can meet their objective, so while work keeps waiting it is
// served too late or not at all. The share rises from 0 to 1 before that.
const refusedShare = ({ waits }: QueueWait, { slackMs, usefulMs }: JobLimits, band: number): number => {
  // A queue may have no slack at all; its jobs are still useful for a time.
  const limitMs = Math.max(1, slackMs > 0 ? slackMs : usefulMs)
  return Math.min(1, Math.max(0, ((waits[band] ?? 0) / limitMs - FIRST_REFUSAL_SHARE) / (1 - FIRST_REFUSAL_SHARE)))
}

// The waits of the bands follow from the order by size, which alone would serve no large job.
const fairShare = (wait: QueueWait, limits: JobLimits, band: number): number => {
  let accepted = 0
  for (const [other, portion] of SIZE_BAND_SHARES.entries()) accepted += portion * (1 - refusedShare(wait, limits, other))
  return Math.min(refusedShare(wait, limits, band), 1 - FAIR_SIZE_SHARE * accepted)
}

// The longer the wait, the longer the span over which jobs return; those refused before return first.
const retryAfterMs = (id: JobId, waitMs: number, { slackMs }: JobLimits, times: number, now: Instant): number => {
  const excessMs = Math.min(MAX_RETRY_AFTER_MS / 2, waitMs - FIRST_REFUSAL_SHARE * Math.max(0, slackMs)) * REFUSAL_DISCOUNT ** times
  return Math.max(MIN_RETRY_AFTER_MS, excessMs) * (1 + fractionOf(id, `return ${Math.floor(now)}`))
}
