/**
 * Deletes the rows of finished jobs whose retention time has passed.
 */
import { brand, type Instant } from '@auburnpin/common'
import type { JobRecord, JobScheduler } from '@auburnpin/core'
import { CLEANUP_INTERVAL_MS, MAX_JOBS_PER_CLEANUP, RETENTION_MARGIN_MS } from './constants.ts'
import { delegationKey, reportKey } from './delegationRows.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { cancelKey, jobPart, JOBS_TABLE, progressKeys } from './rows.ts'
import type { TermWriter } from './TermWriter.ts'

/** Deletes rows periodically: first a job's rows in the jobs table and, with a later commit, its progress. */
export class FinishedJobCleaner {
  readonly #ports: OwnerPorts
  readonly #scheduler: JobScheduler
  readonly #writer: TermWriter
  #isStopped = false

  constructor (ports: OwnerPorts, scheduler: JobScheduler, writer: TermWriter) {
    this.#ports = ports
    this.#scheduler = scheduler
    this.#writer = writer
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ports.clock.sleep(CLEANUP_INTERVAL_MS)
      if (this.#writer.isHeld) await this.#deleteFinishedJobs()
    }
  }

  async #deleteFinishedJobs (): Promise<void> {
    const { clock, log, finishedJobRetentionMs } = this.#ports
    const cutoff = brand<Instant>(clock.now() - finishedJobRetentionMs - RETENTION_MARGIN_MS)
    let dropped = 0
    for (const record of this.#scheduler.finishedBefore(cutoff, MAX_JOBS_PER_CLEANUP)) {
      if (!await this.#deleteJob(record)) break
      dropped++
    }
    if (dropped > 0) log.info('Rows of finished jobs deleted', { dropped })
  }

  async #deleteJob (record: JobRecord): Promise<boolean> {
    const { id } = record.job
    const shared = [...record.delegates].flatMap(delegate => [delegationKey(id, delegate), reportKey(id, delegate)])
    const deletes = [id, cancelKey(id), ...shared].map(key => ({ table: JOBS_TABLE, key }))
    const outcome = await this.#ports.store.transact({ part: jobPart(id), checks: [], puts: [], deletes })
    if (outcome.err || this.#isStopped) return false
    this.#scheduler.removeJob(id)
    this.#writer.deleteProgress(progressKeys(record))
    return true
  }
}
