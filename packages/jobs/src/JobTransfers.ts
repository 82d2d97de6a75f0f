/**
 * Gives jobs that wait in one cell to another.
 */
import { brand, type CellId, type Instant, type JobId, type RowVersion } from '@auburnpin/common'
import { addedLoad, countEvacuated, type CellLoad, type JobRecord, type JobScheduler } from '@auburnpin/core'
import { MIN_TRANSFER_WAIT_MS, TRANSFER_INTERVAL_MS } from './constants.ts'
import { cellLoad } from './cellLoad.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { encodeJob, indexOfCell, jobPart, JOBS_TABLE, readJob } from './rows.ts'
import type { TermWriter } from './TermWriter.ts'

/** What becomes of a job once its row names the other cell. */
export abstract class TransferHost {
  abstract get isHeld (): boolean
  /** The job belongs to another cell as of a version of the store. */
  abstract jobMoved (id: JobId, version: RowVersion): void
}

/**
 * A job moves in two steps, so that whichever owners die in between exactly one cell schedules it. First the owner
 * records in the progress, under its term, that the job has moved; from then on neither it nor a successor schedules the
 * job. Then it changes the cell in the job's row, from which the other owner learns of it. A successor that finds the
 * first step without the second repeats the second.
 */
export class JobTransfers {
  readonly #ports: OwnerPorts
  readonly #cell: CellId
  readonly #scheduler: JobScheduler
  readonly #writer: TermWriter
  readonly #host: TransferHost
  /** Jobs whose move is recorded durably. */
  readonly #recorded = new Map<JobId, CellId>()
  /** Jobs whose rows are being changed. */
  readonly #inProgress = new Set<JobId>()
  #lastLoads: readonly CellLoad[] | undefined
  #givenPercent = 0
  #isStopped = false

  constructor (ports: OwnerPorts, cell: CellId, scheduler: JobScheduler, writer: TermWriter, host: TransferHost) {
    this.#ports = ports
    this.#cell = cell
    this.#scheduler = scheduler
    this.#writer = writer
    this.#host = host
  }

  /** Starts with the moves that an earlier owner recorded. */
  start (): void {
    this.progressStored([...this.#scheduler.jobs.values()])
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  /** The progress of these jobs is durable: rows of those that move may be changed. */
  progressStored (jobs: readonly JobRecord[]): void {
    for (const { movedTo, job: { id } } of jobs) {
      if (movedTo === undefined) continue
      this.#recorded.set(id, movedTo)
      void this.#changeRow(id, movedTo)
    }
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ports.clock.sleep(TRANSFER_INTERVAL_MS)
      if (this.#isStopped || !this.#host.isHeld) continue
      this.#withdrawJobs()
      for (const [id, to] of this.#recorded) void this.#changeRow(id, to)
    }
  }

  // Published loads are seconds old. A job that is given away lowers this cell's load and raises the other's, hence the
  // factor of 2; without it, jobs would go on moving until the next loads are published.
  #withdrawJobs (): void {
    const { cells, clock } = this.#ports
    const { loads } = cells
    if (loads === undefined || !this.#scheduler.isReconciled) return
    if (loads !== this.#lastLoads) this.#givenPercent = 0
    this.#lastLoads = loads
    const { loadPercent, processors, workers } = this.#scheduler
    for (const record of this.#scheduler.untouchedJobs(brand<Instant>(clock.now() - MIN_TRANSFER_WAIT_MS))) {
      const own = { ...cellLoad(workers.size, countEvacuated(workers.values()), loadPercent - 2 * this.#givenPercent, true), workers: 0 }
      const to = cells.chooseTransfer(record.job, this.#cell, loads.with(indexOfCell(this.#cell), own))
      // A job that no other cell can run must not keep the others in a cell where nothing starts.
      if (to === undefined && own.isEvacuated === true) continue
      if (to === undefined) return
      this.#givenPercent += addedLoad(record.job, processors)
      this.#scheduler.withdraw(record, to)
      this.#writer.requestCommit()
      this.#ports.log.info('Job is given to another cell', { job: record.job.id, from: this.#cell, to, loadPercent })
    }
  }

  async #changeRow (id: JobId, to: CellId): Promise<void> {
    if (this.#inProgress.has(id)) return
    this.#inProgress.add(id)
    const version = await this.#tryChangeRow(id, to)
    if (version !== undefined && !this.#isStopped) {
      this.#recorded.delete(id)
      this.#host.jobMoved(id, version)
      this.#writer.deleteProgress([id])
    }
    this.#inProgress.delete(id)
  }

  // Returns a version as of which the row certainly names another cell, or is gone.
  async #tryChangeRow (id: JobId, to: CellId): Promise<RowVersion | undefined> {
    const { store } = this.#ports
    const part = jobPart(id)
    const page = await store.range({ table: JOBS_TABLE, part, from: id, to: `${id}\u0000` })
    if (page.err) return undefined
    const [row] = page.val.rows
    if (row === undefined) return page.val.version
    const assigned = readJob(row)
    if (assigned === undefined) return undefined
    if (assigned.cell !== this.#cell) return page.val.version
    const key = { table: JOBS_TABLE, key: id }
    const outcome = await store.transact({ part, checks: [{ ...key, version: row.version }], puts: [{ ...key, value: encodeJob({ job: assigned.job, cell: to }) }], deletes: [] })
    return outcome.ok && outcome.val.kind === 'committed' ? outcome.val.version : undefined
  }
}
