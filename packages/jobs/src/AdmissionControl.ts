/**
 * Admission control of one process that clients talk to.
 */
import type { Clock, JobId, Log, Metrics } from '@auburnpin/common'
import { findBacklogRefusal, JobAdmission, type AdmissionDecision, type BacklogRefusal, type Job, type PublishedBacklogs, type PublishedWaits } from '@auburnpin/core'
import { MAX_ADMISSION_READ_MS } from './constants.ts'
import { KeptTasksLimit, type KeptTasksRefusal, type PublishedTasks } from './KeptTasksLimit.ts'
import type { JobRepository } from './JobRepository.ts'

/** Shares are logged to the percent. */
const PERCENT = 100

type WaitRefusal = Extract<AdmissionDecision, { kind: 'refuse' }>

/** A refusal as the client is told of it. */
export type JobRefusal = Readonly<{ retryAfterMs: number, why: string }>

/** Dependencies of admission control. */
export type AdmissionPorts = Readonly<{
  jobs: Pick<JobRepository, 'mayBeStored'>
  /** What the owners of the cells that could run a job publish; `undefined` without an owner. */
  waitsFor: (job: Job) => PublishedWaits | undefined
  /** The same for the backlogs of accepted work. */
  backlogsFor: (job: Job) => PublishedBacklogs | undefined
  /** Tasks that the owners of these cells keep in memory; `undefined` if nothing is known. */
  keptTasksFor: (job: Job) => PublishedTasks | undefined
  clock: Clock
  log: Log
  metrics: Metrics
}>

/**
 * Refuses a job only if it is certainly not stored: its row is read first, and this process remembers submissions with
 * an unknown outcome. If that can't be found out in time, the job is accepted.
 *
 * @example
 * const refusal = await admission.refusalOf(job)
 * if (refusal === undefined) await jobs.submit(job, withinMs)
 */
export class AdmissionControl {
  readonly #ports: AdmissionPorts
  readonly #admission = new JobAdmission()
  readonly #keptTasks = new KeptTasksLimit()

  constructor (ports: AdmissionPorts) {
    this.#ports = ports
  }

  /** The refusal of a job; `undefined` if it is accepted. */
  async refusalOf (job: Job): Promise<JobRefusal | undefined> {
    const { backlogsFor, waitsFor, keptTasksFor, clock, metrics } = this.#ports
    const published = waitsFor(job)
    const byWait = this.#admission.decide(job, published, clock.now())
    const byMemory = this.#keptTasks.findRefusal(job, keptTasksFor(job), clock.now())
    const decision = byMemory ?? (byWait.kind === 'refuse' ? byWait : findBacklogRefusal(job, backlogsFor(job)) ?? byWait)
    if (decision.kind === 'accept' || await this.#mayBeStored(job.id)) {
      this.#admission.recordAcceptance(job.id)
      this.#keptTasks.recordAcceptance(job, clock.now())
      metrics.count('jobs.admitted', 1, { queue: job.queue, why: decision.kind === 'accept' ? decision.why : 'may be stored' })
      return undefined
    }
    metrics.count('jobs.refused', 1, { queue: job.queue, why: decision.kind === 'refuse' ? 'wait' : decision.kind })
    if (decision.kind === 'memory') return this.#refuseForMemory(job, decision)
    return decision.kind === 'backlog' ? this.#refuseForBacklog(job, decision) : this.#refuseForWait(job, decision, published?.ageMs ?? 0)
  }

  #refuseForMemory (job: Job, { tasks, keptTasks, retryAfterMs }: KeptTasksRefusal): JobRefusal {
    this.#ports.log.info('Job refused, as too many tasks are open', { job: job.id, queue: job.queue, tasks, keptTasks, retryAfterMs })
    return { retryAfterMs, why: 'more tasks are open than can be kept; the job is not stored' }
  }

  #refuseForBacklog (job: Job, { drainMs, limitMs, share, retryAfterMs }: BacklogRefusal): JobRefusal {
    this.#ports.log.info('Job refused, as too much accepted work waits', { job: job.id, queue: job.queue, drainMs, limitMs, share: roundShare(share), retryAfterMs: Math.round(retryAfterMs) })
    return { retryAfterMs, why: 'more work is accepted than can be done in time; the job is not stored' }
  }

  #refuseForWait (job: Job, { retryAfterMs, waitMs, slackMs, usefulMs, share, refusals }: WaitRefusal, forecastAgeMs: number): JobRefusal {
    const { clock, log } = this.#ports
    this.#admission.recordRefusal(job.id, retryAfterMs, clock.now())
    log.info('Job refused, as it would wait too long', { job: job.id, queue: job.queue, waitMs, slackMs, usefulMs, refusals, share: roundShare(share), retryAfterMs: Math.round(retryAfterMs), forecastAgeMs: Math.round(forecastAgeMs) })
    return { retryAfterMs, why: 'the job would wait too long to end usefully; it is not stored' }
  }

  // Also `true` if the store doesn't say in time.
  #mayBeStored (id: JobId): Promise<boolean> {
    const { clock, jobs } = this.#ports
    return new Promise((resolve, reject) => {
      const timer = clock.after(MAX_ADMISSION_READ_MS, () => resolve(true))
      jobs.mayBeStored(id).then(resolve, reject).finally(() => timer.cancel())
    })
  }
}

const roundShare = (share: number): number => Math.round(share * PERCENT) / PERCENT
