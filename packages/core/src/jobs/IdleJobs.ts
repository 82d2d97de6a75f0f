/**
 * Jobs that have tasks to run and no run.
 */
import { brand, type Instant } from '@auburnpin/common'
import { fractionOf } from './fractionOf.ts'
import { IdleJobShare } from './IdleJobShare.ts'
import type { JobRecord } from './JobRecord.ts'
import type { StepRecord } from './StepRecord.ts'

/**
 * Since when each job with tasks that wait has had no run. A job that has never run counts from the time when it could
 * first start, so that a takeover doesn't make it look young. Long-running tasks are left out.
 *
 * @example
 * idleJobs.observe(openSteps, now, wallTime)
 * idleJobs.idleMs(job, now) // 4_200
 */
export class IdleJobs {
  /** The part of the started work that they get. */
  readonly share = new IdleJobShare()
  #firstPassAt: Instant | undefined
  #since = new Map<JobRecord, Instant>()
  readonly #hasRun = new WeakSet<JobRecord>()

  /** Notes which jobs have no run, before a scheduling pass. */
  observe (openSteps: Iterable<StepRecord>, now: Instant, wallTime: number): void {
    const since = new Map<JobRecord, Instant>()
    const running = new Set<JobRecord>()
    for (const step of openSteps) {
      const { job, occurrence, shape } = step
      if (step.hasRuns) running.add(job)
      if (step.waiting.size === 0 || shape.isLasting) continue
      const startsAt = this.#hasRun.has(job) ? now : this.#estimate(job, now, Math.max(0, wallTime - job.startsAt(occurrence)))
      since.set(job, brand<Instant>(Math.min(this.#since.get(job) ?? startsAt, since.get(job) ?? Infinity)))
    }
    for (const job of running) {
      since.delete(job)
      this.#hasRun.add(job)
    }
    this.#since = since
  }

  // An earlier owner may have run the job until now. Different jobs count as idle for longer under each owner, so that owners
  // that change every few seconds don't all start with the same jobs.
  #estimate ({ phase, job }: JobRecord, now: Instant, ageMs: number): Instant {
    this.#firstPassAt ??= now
    return brand<Instant>(now - (phase === 'queued' ? ageMs : ageMs * fractionOf(job.id, `idle ${this.#firstPassAt}`)))
  }

  /** Milliseconds for which a job has had tasks that wait and no run; 0 if it has a run. */
  idleMs (job: JobRecord, now: Instant): number {
    return Math.max(0, now - (this.#since.get(job) ?? now))
  }
}
