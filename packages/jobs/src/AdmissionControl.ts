/**
 * Admission control of one process that clients talk to.
 */
import type { Clock, JobId, Log, Metrics } from '@auburnpin/common'
import { JobAdmission, type Job, type PublishedWaits } from '@auburnpin/core'
import { MAX_ADMISSION_READ_MS } from './constants.ts'
import type { JobRepository } from './JobRepository.ts'

/** Shares are logged to the percent. */
const PERCENT = 100

/** A refusal as the client is told of it. */
export type JobRefusal = Readonly<{ retryAfterMs: number, why: string }>

/** Dependencies of admission control. */
export type AdmissionPorts = Readonly<{
  jobs: Pick<JobRepository, 'mayBeStored'>
  /** What the owners of the cells that could run a job publish; `undefined` without an owner. */
  waitsFor: (job: Job) => PublishedWaits | undefined
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

  constructor (ports: AdmissionPorts) {
    this.#ports = ports
  }

  /** The refusal of a job; `undefined` if it is accepted. */
  async refusalOf (job: Job): Promise<JobRefusal | undefined> {
    const { clock, log, metrics } = this.#ports
    const published = this.#ports.waitsFor(job)
    const decision = this.#admission.decide(job, published, clock.now())
    if (decision.kind === 'accept' || await this.#mayBeStored(job.id)) {
      this.#admission.recordAcceptance(job.id)
      metrics.count('jobs.admitted', 1, { queue: job.queue, why: decision.kind === 'accept' ? decision.why : 'may be stored' })
      return undefined
    }
    const { kind, retryAfterMs, share, ...inputs } = decision
    this.#admission.recordRefusal(job.id, retryAfterMs, clock.now())
    metrics.count('jobs.refused', 1, { queue: job.queue })
    log.info('Job refused, as it would wait too long', { job: job.id, queue: job.queue, ...inputs, share: Math.round(share * PERCENT) / PERCENT, retryAfterMs: Math.round(retryAfterMs), forecastAgeMs: Math.round(published?.ageMs ?? 0) })
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
