/**
 * Reads what earlier owners of a cell have stored.
 */
import { AuburnpinError, Err, Ok, type Instant, type Result, type WorkerId } from '@auburnpin/common'
import type { JobScheduler } from '@auburnpin/core'
import type { CellJobs } from './CellJobs.ts'
import type { CellMembership, LayoutMembership } from './CellMembership.ts'
import type { ClaimedTerm } from './ClaimedTerm.ts'
import { MAX_RESTORE_PAUSE_MS } from './constants.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { recordedLease } from './recordedLease.ts'
import type { RowPage } from './RowStore.ts'
import { ESTIMATES_KEY, hasSeveralCells, isUsedWorkersKey, PROGRESS_TABLE, readEstimates, readLayout, readUsedWorkers, TERMS_TABLE, withoutLeaseEnd, type UsedWorker } from './rows.ts'
import type { TableFollower } from './TableFollower.ts'
import { TableReader } from './TableReader.ts'
import type { TermWriter } from './TermWriter.ts'
import { unlistedEntry } from './unlistedEntry.ts'

/** What a restoration reads into. */
export type RestoredParts = Readonly<{
  scheduler: JobScheduler
  writer: TermWriter
  jobs: CellJobs
  jobsFollower: TableFollower
  membership: CellMembership
  /** Of the first cell only. */
  layout: LayoutMembership | undefined
  /** Receives the epoch offsets of the workers that earlier owners used. */
  recordedOffsets: Map<WorkerId, number>
}>

type TermRows = Readonly<{ page: RowPage, readAt: Instant }>

/**
 * Restores the state of a cell at the start of a term. What was read stays over failed tries, since nobody but the owner
 * changes it, so that the time it takes follows from the link and the size of the tables.
 *
 * @example
 * const restoration = new TermRestoration(ports, claimed, parts)
 * while ((await restoration.run()).err) await clock.sleep(150)
 */
export class TermRestoration {
  readonly #ports: OwnerPorts
  readonly #claimed: ClaimedTerm
  readonly #parts: RestoredParts
  readonly #progress: TableReader
  #termRows: TermRows | undefined
  #isProgressKept = false
  #progressedAt: Instant

  constructor (ports: OwnerPorts, claimed: ClaimedTerm, parts: RestoredParts) {
    this.#ports = ports
    this.#claimed = claimed
    this.#parts = parts
    this.#progressedAt = claimed.claimedAt
    this.#progress = new TableReader(ports.store, ports.clock, PROGRESS_TABLE, [claimed.cell], () => this.recordProgress())
  }

  /** Part of what is read has arrived. */
  recordProgress (): void {
    this.#progressedAt = this.#ports.clock.now()
  }

  /** Whether nothing has arrived for so long that another process should try. */
  get isStalled (): boolean {
    return this.#ports.clock.now() - this.#progressedAt > MAX_RESTORE_PAUSE_MS
  }

  /** Number of rows read so far. */
  get rowCount (): number {
    return this.#progress.rowCount + this.#parts.jobsFollower.readCount
  }

  /** Reads what is missing, and applies it once it is whole. Errors: those of the store; `corrupt` if the layout can't be read. */
  async run (): Promise<Result<void, AuburnpinError>> {
    const { membership, jobs: { storedProgress }, jobsFollower } = this.#parts
    const [progress, termRows] = await Promise.all([this.#progress.read(), this.#readTermRows()])
    if (progress.err) return progress
    if (termRows.err) return termRows
    if (!await membership.read()) return Err(new AuburnpinError('unreachable', 'The racks of the cell could not be read', 'They are read again automatically.'))
    if (!this.#restoreLayout(termRows.val)) return Err(new AuburnpinError('corrupt', 'The layout of the cells cannot be read', 'Find what else writes to the table of terms; restore the rows of the layout.'))
    if (!this.#isProgressKept) {
      this.#isProgressKept = true
      for (const row of progress.val.rows) storedProgress.add(row, this.#claimed.term.knownRunsSince ?? this.#claimed.term.epoch)
      const { damaged } = storedProgress
      if (damaged.size > 0) this.#ports.log.error('The progress of jobs cannot be read; they are not scheduled', { jobs: [...damaged].join(' ') })
    }
    const read = await jobsFollower.readTable()
    if (read.err) return read
    storedProgress.clear()
    this.#restoreWorkers(termRows.val)
    return read
  }

  async #readTermRows (): Promise<Result<TermRows, AuburnpinError>> {
    const { store, clock } = this.#ports
    if (this.#termRows !== undefined) return Ok(this.#termRows)
    const page = await store.range({ table: TERMS_TABLE, part: this.#claimed.cell, from: '', to: '' })
    if (page.err) return page
    this.#termRows = { page: page.val, readAt: clock.now() }
    this.recordProgress()
    return Ok(this.#termRows)
  }

  #restoreWorkers ({ page: { rows, storeTime }, readAt }: TermRows): void {
    const { clock, log } = this.#ports
    const { scheduler, writer, recordedOffsets } = this.#parts
    const now = clock.now()
    const usedWorkers: UsedWorker[] = []
    const usedWorkersKeys: string[] = []
    for (const row of rows) {
      if (row.key === ESTIMATES_KEY) this.#restoreEstimates(row.value, now)
      if (!isUsedWorkersKey(row.key)) continue
      usedWorkersKeys.push(row.key)
      const read = readUsedWorkers(row.value)
      if (read !== undefined) usedWorkers.push(...(this.#claimed.term.areLeaseEndsRecorded === true ? read : read.map(withoutLeaseEnd)))
      else {
        log.error('The workers of earlier owners cannot be read; no task starts before their leases are over', { row: row.key })
        scheduler.waitForEarlierLeases()
      }
    }
    for (const worker of usedWorkers) {
      recordedOffsets.set(worker.id, worker.epochOffset ?? 0)
      scheduler.restoreWorker(unlistedEntry(worker), now, recordedLease(worker, storeTime, readAt))
    }
    writer.restoreUsedWorkers(usedWorkers, usedWorkersKeys)
  }

  #restoreEstimates (value: string, now: Instant): void {
    const estimates = readEstimates(value)
    if (estimates === undefined) this.#ports.log.warn('The interference estimates of earlier owners cannot be read and are learnt anew', { cell: this.#claimed.cell })
    else this.#parts.scheduler.interference.restore(estimates, now)
  }

  // A deployment of several cells needs its layout, as other owners use the racks that it assigns to them.
  #restoreLayout ({ page: { rows } }: TermRows): boolean {
    const { layout: membership, writer } = this.#parts
    if (membership === undefined) return true
    const layout = readLayout(rows)
    if (layout === undefined) return !hasSeveralCells(rows)
    membership.restore(layout)
    writer.restoreLayout(layout)
    return true
  }
}
