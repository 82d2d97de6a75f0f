/**
 * Moves jobs that have ended out of the tables that a new owner reads.
 */
import { brand, type CellId, type Instant } from '@auburnpin/common'
import type { JobRecord, JobScheduler } from '@auburnpin/core'
import type { CellJobs } from './CellJobs.ts'
import { ENDED_JOB_DELAY_MS, ENDED_JOBS_INTERVAL_MS, MAX_ENDED_JOBS, MAX_ROWS_PER_COMMIT, RETENTION_MARGIN_MS } from './constants.ts'
import { delegationKey, reportKey } from './delegationRows.ts'
import { EndedJobExpiry } from './EndedJobExpiry.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import type { RowKey, RowTransaction } from './RowStore.ts'
import { cancelKey, encodeRow, ENDED_JOBS_TABLE, jobPart, JOBS_TABLE, progressKeys, type EndedJob } from './rows.ts'
import type { TermWriter } from './TermWriter.ts'

/** A job that is about to be moved, and the change that moves it. */
type Move = Readonly<{ record: JobRecord, transaction: RowTransaction }>

/**
 * Some seconds after a job has ended, all that is still asked of it is its phase. One transaction replaces the rows of several
 * such jobs by a short row each, which also keeps their ids from being submitted again; a later commit deletes their progress.
 * What a new owner reads, and what this one keeps in memory, then follows from the jobs that are open.
 *
 * @example
 * const endedJobs = new EndedJobs(ports, cell, scheduler, writer, jobs)
 * endedJobs.start()
 */
export class EndedJobs {
  readonly #ports: OwnerPorts
  readonly #cell: CellId
  readonly #scheduler: JobScheduler
  readonly #writer: TermWriter
  readonly #jobs: CellJobs
  readonly #expiry: EndedJobExpiry
  #isStopped = false

  constructor (ports: OwnerPorts, cell: CellId, scheduler: JobScheduler, writer: TermWriter, jobs: CellJobs) {
    this.#ports = ports
    this.#cell = cell
    this.#scheduler = scheduler
    this.#writer = writer
    this.#jobs = jobs
    this.#expiry = new EndedJobExpiry(ports, cell)
  }

  start (): void {
    void this.#run()
    void this.#expiry.readEarlier()
  }

  stop (): void {
    this.#isStopped = true
    this.#expiry.stop()
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ports.clock.sleep(ENDED_JOBS_INTERVAL_MS)
      if (!this.#writer.isHeld) continue
      try {
        await this.#moveJobs()
        await this.#expiry.deleteOverdue()
      } catch (thrown) {
        this.#ports.log.error('Ended jobs could not be moved', { cell: this.#cell, error: String(thrown) })
      }
    }
  }

  async #moveJobs (): Promise<void> {
    const parts = new Map<string, Move[]>()
    for (const record of this.#movableJobs()) {
      const transaction = this.#transactionFor(record)
      if (transaction === undefined) continue
      const moves = parts.get(transaction.part) ?? []
      moves.push({ record, transaction })
      parts.set(transaction.part, moves)
    }
    let moved = 0
    for (const moves of parts.values()) {
      for (const batch of intoBatches(moves)) {
        if (!await this.#move(batch) || this.#isStopped) return
        moved += batch.length
      }
    }
    if (moved > 0) this.#ports.log.info('Ended jobs moved', { cell: this.#cell, moved, jobs: this.#scheduler.jobs.size })
  }

  #movableJobs (): readonly JobRecord[] {
    const { clock, finishedJobRetentionMs } = this.#ports
    const now = clock.now()
    // Another cell may still have to learn of the end by the rows that it shares.
    const sharedBefore = now - finishedJobRetentionMs - RETENTION_MARGIN_MS
    const ended = this.#scheduler.finishedBefore(brand<Instant>(now - ENDED_JOB_DELAY_MS), MAX_ENDED_JOBS)
    return ended.filter(({ isEndStored, delegates, endedAt = now }) => isEndStored && (delegates.size === 0 || endedAt < sharedBefore))
  }

  // A transaction that is carried out late finds another version or no row, and changes nothing.
  #transactionFor ({ job: { id }, phase, delegates, endedAt }: JobRecord): RowTransaction | undefined {
    const { clock } = this.#ports
    const version = this.#jobs.rowVersionOf(id)
    if (version === undefined) return undefined
    const ended: EndedJob = { cell: this.#cell, phase, endedAt: Math.round(clock.wallTime() - (clock.now() - (endedAt ?? clock.now()))) }
    const shared = [...delegates].flatMap(delegate => [delegationKey(id, delegate), reportKey(id, delegate)])
    const deletes: readonly RowKey[] = [id, cancelKey(id), ...shared].map(key => ({ table: JOBS_TABLE, key }))
    return { part: jobPart(id), checks: [{ table: JOBS_TABLE, key: id, version }], puts: [{ table: ENDED_JOBS_TABLE, key: id, value: encodeRow(ended) }], deletes }
  }

  // Returns whether the store is available. After a conflict each job is moved by itself, as most are not concerned.
  async #move (batch: readonly Move[]): Promise<boolean> {
    const [first] = batch
    if (first === undefined) return true
    const outcome = await this.#ports.store.transact(joined(first.transaction.part, batch))
    if (outcome.err) return false
    if (this.#isStopped) return true
    if (outcome.val.kind === 'committed') {
      for (const { record } of batch) this.#forget(record)
      return true
    }
    if (batch.length > 1) {
      for (const move of batch) if (!await this.#move([move])) return false
      return true
    }
    // An earlier transaction without a response was carried out, or an earlier owner's.
    if (!outcome.val.rows.some(({ table, key }) => table === JOBS_TABLE && key === first.record.job.id)) this.#forget(first.record)
    return true
  }

  #forget (record: JobRecord): void {
    const { id } = record.job
    if (this.#scheduler.jobs.get(id) !== record) return
    this.#jobs.jobRemoved(id)
    this.#writer.deleteProgress(progressKeys(record))
    this.#expiry.add(id, record.endedAt ?? this.#ports.clock.now())
  }
}

const entriesOf = ({ checks, puts, deletes }: RowTransaction): number => checks.length + puts.length + deletes.length

/**
 * Divides moves among transactions of a size that the store accepts.
 *
 * @example
 * for (const batch of intoBatches(moves)) await move(batch)
 */
const intoBatches = (moves: readonly Move[]): readonly Move[][] => {
  const batches: Move[][] = []
  let entries = Infinity
  for (const move of moves) {
    entries += entriesOf(move.transaction)
    if (entries > MAX_ROWS_PER_COMMIT) {
      batches.push([])
      entries = entriesOf(move.transaction)
    }
    batches.at(-1)?.push(move)
  }
  return batches
}

const joined = (part: string, batch: readonly Move[]): RowTransaction => ({
  part,
  checks: batch.flatMap(({ transaction }) => transaction.checks),
  puts: batch.flatMap(({ transaction }) => transaction.puts),
  deletes: batch.flatMap(({ transaction }) => transaction.deletes)
})
