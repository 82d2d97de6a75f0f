/**
 * The jobs of a cell, as the jobs table has them.
 */
import { brand, type JobId, type RowVersion } from '@auburnpin/common'
import type { JobScheduler } from '@auburnpin/core'
import type { ClaimedTerm } from './ClaimedTerm.ts'
import { parseDelegationKey } from './delegationRows.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import type { RowKey, StoredRow } from './RowStore.ts'
import { ABSENT_ROW_VERSION, cancelledJob, readJob } from './rows.ts'
import { StoredProgress } from './StoredProgress.ts'
import { TableListener } from './TableFollower.ts'
import type { TaskDelegator } from './TaskDelegator.ts'
import type { TermWriter } from './TermWriter.ts'

/**
 * Passes the jobs of a cell and their cancellations to its scheduler, and what concerns delegated tasks to the delegator.
 *
 * @example
 * const jobs = new CellJobs(ports, claimed, scheduler, writer, delegator, () => requestPass())
 * const follower = new TableFollower(store, clock, log, 'jobs', allJobParts(), jobs)
 */
export class CellJobs extends TableListener {
  readonly #ports: OwnerPorts
  readonly #claimed: ClaimedTerm
  readonly #scheduler: JobScheduler
  readonly #writer: TermWriter
  readonly #delegator: TaskDelegator
  readonly #onChange: () => void
  /** Progress as earlier owners stored it, until the jobs are restored. */
  readonly storedProgress = new StoredProgress()
  /** Versions of the rows of this cell's jobs. */
  readonly #rowVersions = new Map<JobId, RowVersion>()
  /** Jobs of other cells, whose cancellations concern this one only if it runs some of their tasks. */
  readonly #jobsElsewhere = new Set<JobId>()
  /** Those of them that are cancelled, in case they or some of their tasks come to this cell. */
  readonly #cancelledElsewhere = new Set<JobId>()

  constructor (ports: OwnerPorts, claimed: ClaimedTerm, scheduler: JobScheduler, writer: TermWriter, delegator: TaskDelegator, onChange: () => void) {
    super()
    this.#ports = ports
    this.#claimed = claimed
    this.#scheduler = scheduler
    this.#writer = writer
    this.#delegator = delegator
    this.#onChange = onChange
  }

  /** Applies the whole jobs table. Progress of jobs without a row there is deleted. */
  replaceAll (rows: readonly StoredRow[]): void {
    this.#jobsElsewhere.clear()
    this.#cancelledElsewhere.clear()
    this.#delegator.startReplacing()
    this.update(rows, [])
    this.#delegator.endReplacing()
    const present = new Set(rows.map(row => row.key))
    this.#writer.deleteProgress(this.storedProgress.keysOfMissing(present))
  }

  /** Applies changed and deleted rows of the jobs table. */
  update (rows: readonly StoredRow[], deleted: readonly RowKey[]): void {
    const now = this.#ports.clock.now()
    for (const row of rows) {
      if (cancelledJob(row.key) === undefined && parseDelegationKey(row.key) === undefined) this.#applyJob(row)
    }
    for (const row of rows) {
      const cancelled = cancelledJob(row.key)
      if (cancelled === undefined) continue
      const isElsewhere = this.#jobsElsewhere.has(cancelled)
      if (isElsewhere) this.#cancelledElsewhere.add(cancelled)
      if (!isElsewhere || this.#scheduler.jobs.has(cancelled)) this.#scheduler.cancel(cancelled, now)
    }
    for (const row of rows) {
      const name = parseDelegationKey(row.key)
      if (name !== undefined && !this.storedProgress.damaged.has(name.job)) this.#delegator.rowChanged(name, row, this.#cancelledElsewhere.has(name.job), this.storedProgress.of(name.job))
    }
    for (const { key } of deleted) {
      const name = parseDelegationKey(key)
      if (name !== undefined) this.#delegator.rowDeleted(name)
      this.#rowVersions.delete(brand<JobId>(key))
      this.#jobsElsewhere.delete(brand<JobId>(key))
      this.#cancelledElsewhere.delete(brand<JobId>(key))
    }
    this.#onChange()
  }

  #applyJob (row: StoredRow): void {
    const { clock, log } = this.#ports
    const assigned = readJob(row)
    if (assigned === undefined) {
      log.error('A job cannot be read and is not scheduled', { row: row.key, version: row.version })
      return
    }
    const { job, cell } = assigned
    if (this.storedProgress.damaged.has(job.id)) return
    if (cell !== this.#claimed.cell) {
      this.jobMoved(job.id, row.version)
      return
    }
    this.#jobsElsewhere.delete(job.id)
    this.#rowVersions.set(job.id, row.version)
    this.#scheduler.addJob(job, clock.now(), this.storedProgress.of(job.id), row.version > this.#claimed.version)
    if (this.#cancelledElsewhere.delete(job.id)) this.#scheduler.cancel(job.id, clock.now())
  }

  /** Version of the row of one of this cell's jobs, as last read. */
  rowVersionOf (id: JobId): RowVersion | undefined {
    return this.#rowVersions.get(id)
  }

  /** The rows of a job have been deleted. */
  jobRemoved (id: JobId): void {
    this.#rowVersions.delete(id)
    this.#scheduler.removeJob(id)
  }

  /** A job belongs to another cell as of a version of the store, unless a later version of its row has been read. */
  jobMoved (id: JobId, version: RowVersion): void {
    if ((this.#rowVersions.get(id) ?? ABSENT_ROW_VERSION) > version) return
    this.#rowVersions.delete(id)
    this.#jobsElsewhere.add(id)
    if (this.#scheduler.takeCancellation(id)) this.#cancelledElsewhere.add(id)
    if (this.#scheduler.jobs.get(id)?.movedTo !== undefined) this.#scheduler.removeJob(id)
  }
}
