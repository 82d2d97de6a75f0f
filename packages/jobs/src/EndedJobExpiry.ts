/**
 * Deletes what is kept of ended jobs once their retention time has passed.
 */
import { brand, type CellId, type Instant, type JobId } from '@auburnpin/common'
import { ENDED_JOBS_READ_INTERVAL_MS, MAX_ROWS_PER_COMMIT, RETENTION_MARGIN_MS } from './constants.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import type { StoredRow } from './RowStore.ts'
import { allJobParts, ENDED_JOBS_TABLE, jobPart, readEndedJob } from './rows.ts'
import { TableReader } from './TableReader.ts'

/**
 * Knows the ids of a cell's ended jobs: those that are added, and those that earlier owners have left.
 *
 * @example
 * const expiry = new EndedJobExpiry(ports, cell)
 * expiry.add(job, endedAt)
 * await expiry.deleteOverdue()
 */
export class EndedJobExpiry {
  readonly #ports: OwnerPorts
  readonly #cell: CellId
  /** For each part, when its jobs ended. */
  readonly #endedAt = new Map<string, Map<JobId, Instant>>(allJobParts().map(part => [part, new Map<JobId, Instant>()]))
  #isStopped = false

  constructor (ports: OwnerPorts, cell: CellId) {
    this.#ports = ports
    this.#cell = cell
  }

  stop (): void {
    this.#isStopped = true
  }

  add (id: JobId, endedAt: Instant): void {
    this.#endedAt.get(jobPart(id))?.set(id, endedAt)
  }

  /** Reads what earlier owners have left, slowly, as nothing waits for it. */
  async readEarlier (): Promise<void> {
    const { store, clock } = this.#ports
    for (const part of allJobParts()) {
      const reader = new TableReader(store, clock, ENDED_JOBS_TABLE, [part])
      let read
      do {
        await clock.sleep(ENDED_JOBS_READ_INTERVAL_MS)
        if (this.#isStopped) return
        read = await reader.read()
      } while (read.err)
      for (const row of read.val.rows) this.#addEarlier(row, part)
    }
  }

  #addEarlier ({ key, value }: StoredRow, part: string): void {
    const { clock, log } = this.#ports
    const id = brand<JobId>(key)
    const ended = readEndedJob(value)
    if (ended === undefined) log.error('What is kept of an ended job cannot be read', { row: key })
    if (ended?.cell !== this.#cell || this.#endedAt.get(part)?.has(id) === true) return
    const ageMs = Math.max(0, clock.wallTime() - ended.endedAt)
    this.add(id, brand<Instant>(clock.now() - ageMs))
  }

  /** Deletes the rows whose time has passed; what fails is tried again with the next call. */
  async deleteOverdue (): Promise<void> {
    const { clock, store, finishedJobRetentionMs } = this.#ports
    const cutoff = clock.now() - finishedJobRetentionMs - RETENTION_MARGIN_MS
    for (const [part, jobs] of this.#endedAt) {
      const overdue = [...jobs].flatMap(([id, endedAt]) => endedAt < cutoff ? [id] : [])
      for (let first = 0; first < overdue.length; first += MAX_ROWS_PER_COMMIT) {
        const ids = overdue.slice(first, first + MAX_ROWS_PER_COMMIT)
        const outcome = await store.transact({ part, checks: [], puts: [], deletes: ids.map(key => ({ table: ENDED_JOBS_TABLE, key })) })
        if (outcome.err || this.#isStopped) return
        for (const id of ids) jobs.delete(id)
      }
    }
  }
}
