/**
 * Submissions that may be stored although no response says so.
 */
import type { AuburnpinError, Clock, Instant, JobId, Result } from '@auburnpin/common'
import { MAX_UNCERTAIN_SUBMISSIONS, UNCERTAIN_SUBMISSION_MS } from './constants.ts'

/**
 * Remembers for each job how many submissions are in progress and when the last one with an unknown outcome ended, so
 * that the process doesn't tell a client that such a job isn't stored. If it had to forget one that may still be
 * stored, every job counts as uncertain until then.
 *
 * @example
 * await submissions.track(job.id, clock, () => store(job))
 * submissions.has(job.id, clock.now())
 */
export class UncertainSubmissions {
  readonly #inProgress = new Map<JobId, number>()
  /** In the order of the times, the oldest first. */
  readonly #unknownUntil = new Map<JobId, Instant>()
  #allUncertainUntil = -Infinity

  /** Runs a submission; one that throws has an unknown outcome. */
  async track<Value> (id: JobId, clock: Clock, submit: () => Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    let isUnknown = true
    this.begin(id)
    try {
      const outcome = await submit()
      isUnknown = outcome.err && outcome.val.kind === 'unknown-outcome'
      return outcome
    } finally {
      this.end(id, isUnknown, clock.now())
    }
  }

  begin (id: JobId): void {
    this.#inProgress.set(id, (this.#inProgress.get(id) ?? 0) + 1)
  }

  end (id: JobId, isUnknown: boolean, now: Instant): void {
    const others = (this.#inProgress.get(id) ?? 1) - 1
    if (others > 0) this.#inProgress.set(id, others)
    else this.#inProgress.delete(id)
    if (!isUnknown) return
    this.#unknownUntil.delete(id)
    this.#unknownUntil.set(id, (now + UNCERTAIN_SUBMISSION_MS) as Instant)
    this.#forget(now)
  }

  /** Whether an earlier submission of the job may be stored now or later. */
  has (id: JobId, now: Instant): boolean {
    return this.#inProgress.has(id) || now < this.#allUncertainUntil || now < (this.#unknownUntil.get(id) ?? -Infinity)
  }

  #forget (now: Instant): void {
    for (const [id, until] of this.#unknownUntil) {
      const isOver = now >= until
      if (!isOver && this.#unknownUntil.size <= MAX_UNCERTAIN_SUBMISSIONS) return
      this.#unknownUntil.delete(id)
      if (!isOver) this.#allUncertainUntil = Math.max(this.#allUncertainUntil, until)
    }
  }
}
