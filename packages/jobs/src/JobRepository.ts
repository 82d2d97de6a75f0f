/**
 * Stores submitted jobs and cancellations, and reads the phase of a job.
 */
import { AuburnpinError, Err, Ok, type CellId, type Clock, type Instant, type JobId, type Log, type Result } from '@auburnpin/common'
import type { Job, JobPhase } from '@auburnpin/core'
import type { CellChooser } from './CellChooser.ts'
import { FIRST_CELL } from './constants.ts'
import type { RowTransaction, StoredRow } from './RowStore.ts'
import { storeUnavailable, type MonitoredStore } from './MonitoredStore.ts'
import { UncertainSubmissions } from './UncertainSubmissions.ts'
import { ABSENT_ROW_VERSION, cancelKey, encodeRow, encodeJob, ENDED_JOBS_TABLE, jobKeyRange, jobPart, JOBS_TABLE, PROGRESS_TABLE, readEndedJob, readJob, readProgress } from './rows.ts'

/** Delay before a transaction with an unknown outcome is retried, in milliseconds. */
const RETRY_DELAY_MS = 60

/** Time between two rounds of retries of cancellations that could not be stored, in milliseconds. */
const CANCEL_RETRY_INTERVAL_MS = 300
/** How long a cancellation is retried, in milliseconds; longer than the outages that clients wait for. */
const CANCEL_RETRY_PERIOD_MS = 60_000
/** Most cancellations that wait to be stored; bursts of some hundreds are usual. */
const MAX_PENDING_CANCELLATIONS = 2_000
/** Most jobs whose cell is remembered, so that a question for a job takes one read. */
const MAX_REMEMBERED_CELLS = 5_000

/** Works in every process, whether or not it owns the cell, as the transactions of the store decide. */
export class JobRepository {
  readonly #store: MonitoredStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #cells: CellChooser
  /** Cells of the jobs that this process was last asked for. */
  readonly #cellOfJob = new Map<JobId, CellId>()
  /** Cancellations that could not be stored yet, with the time of the failed request. */
  readonly #pendingCancellations = new Map<JobId, Instant>()
  readonly #uncertain = new UncertainSubmissions()
  #isRetrying = false

  constructor (store: MonitoredStore, clock: Clock, log: Log, cells: CellChooser) {
    this.#store = store
    this.#cells = cells
    this.#clock = clock
    this.#log = log
  }

  /**
   * Stores a job unless one with its id is stored already; both cases succeed. Errors: `overloaded` and
   * `unreachable` mean that the job is certainly not stored, `unknown-outcome` that it may be.
   */
  async submit (job: Job, withinMs: number): Promise<Result<void, AuburnpinError>> {
    const key = { table: JOBS_TABLE, key: job.id }
    const cell = this.#cells.choose(job)
    // While the store is unavailable the job is refused at once, as the client may find a process that can reach the store.
    const outcome = this.#store.isUnavailable ? storeUnavailable() : await this.#uncertain.track(job.id, this.#clock, () => this.#putOnce({ part: jobPart(job.id), checks: [{ ...key, version: ABSENT_ROW_VERSION }, { ...key, table: ENDED_JOBS_TABLE, version: ABSENT_ROW_VERSION }], puts: [{ ...key, value: encodeJob({ job, cell }) }], deletes: [] }, withinMs))
    this.#log.info('Job submitted', { job: job.id, queue: job.queue, steps: describeSteps(job), cell, outcome: outcome.ok ? outcome.val : outcome.val.kind })
    if (outcome.ok && outcome.val === 'stored') this.#rememberCell(job.id, cell)
    return outcome.err ? outcome : Ok(undefined)
  }

  /** Whether a job is stored, or may be through an earlier submission to this process; `true` also if the store doesn't say. */
  async mayBeStored (id: JobId): Promise<boolean> {
    if (this.#store.isUnavailable || this.#uncertain.has(id, this.#clock.now())) return true
    const rows = await this.#store.range({ table: JOBS_TABLE, part: jobPart(id), ...jobKeyRange(id) })
    if (rows.err || rows.val.rows.length > 0) return true
    const ended = await this.#endedPhase(id)
    return ended.err || ended.val !== undefined || this.#uncertain.has(id, this.#clock.now())
  }

  /**
   * Stores the cancellation of a job, also if the job itself isn't stored: a submission without a response may
   * still be stored later, and must not run then. Returns `false` if the job isn't stored so far. Errors as for
   * `submit`; a failed cancellation is retried for a while, since the client may not send it again.
   */
  async cancel (id: JobId, withinMs: number): Promise<Result<boolean, AuburnpinError>> {
    const outcome = await this.#cancelOnce(id, withinMs)
    this.#log.info('Job cancellation requested', { job: id, outcome: outcome.ok ? 'stored' : outcome.val.kind, known: outcome.ok ? outcome.val : undefined })
    if (outcome.err) this.#scheduleCancellation(id)
    return outcome
  }

  async #cancelOnce (id: JobId, withinMs: number): Promise<Result<boolean, AuburnpinError>> {
    const startedAt = this.#clock.now()
    const part = jobPart(id)
    const jobRows = await this.#store.range({ table: JOBS_TABLE, part, ...jobKeyRange(id) })
    if (jobRows.err) return jobRows
    const isStored = jobRows.val.rows.some(row => row.key === id)
    if (!isStored) {
      const ended = await this.#endedPhase(id)
      if (ended.err) return ended
      // Nothing is left to cancel.
      if (ended.val !== undefined) return Ok(true)
    }
    const key = { table: JOBS_TABLE, key: cancelKey(id) }
    const remainingMs = withinMs - (this.#clock.now() - startedAt)
    const outcome = await this.#putOnce({ part, checks: [{ ...key, version: ABSENT_ROW_VERSION }], puts: [{ ...key, value: encodeRow({ cancelledAt: this.#clock.wallTime() }) }], deletes: [] }, remainingMs)
    return outcome.err ? outcome : Ok(isStored)
  }

  #scheduleCancellation (id: JobId): void {
    if (this.#pendingCancellations.size < MAX_PENDING_CANCELLATIONS) this.#pendingCancellations.set(id, this.#clock.now())
    if (!this.#isRetrying) void this.#retryCancellations()
  }

  async #retryCancellations (): Promise<void> {
    this.#isRetrying = true
    while (this.#pendingCancellations.size > 0) {
      await this.#clock.sleep(CANCEL_RETRY_INTERVAL_MS)
      try {
        await this.#retryOnce()
      } catch (thrown) {
        this.#log.error('Cancellations could not be retried', { error: String(thrown) })
      }
    }
    this.#isRetrying = false
  }

  async #retryOnce (): Promise<void> {
    for (const [id, failedAt] of [...this.#pendingCancellations]) {
      const outcome = await this.#cancelOnce(id, CANCEL_RETRY_INTERVAL_MS)
      const hasExpired = this.#clock.now() - failedAt > CANCEL_RETRY_PERIOD_MS
      if (outcome.ok || hasExpired) {
        this.#pendingCancellations.delete(id)
        this.#log.info('Cancellation retried', { job: id, outcome: outcome.ok ? 'stored' : 'given up' })
      } else if (outcome.val.kind !== 'invalid-request') break
    }
  }

  /** Phase of a job; `undefined` if the job isn't stored. */
  async phaseOf (id: JobId): Promise<Result<JobPhase | undefined, AuburnpinError>> {
    if (this.#store.isUnavailable) return storeUnavailable()
    const likelyCell = this.#cellOfJob.get(id) ?? FIRST_CELL
    const likelyPhase = await this.#recordedPhase(id, likelyCell)
    if (likelyPhase.err || likelyPhase.val !== undefined) return likelyPhase
    const rows = await this.#store.range({ table: JOBS_TABLE, part: jobPart(id), ...jobKeyRange(id) })
    if (rows.err) return rows
    const row = rows.val.rows.find(({ key }) => key === id)
    if (row === undefined) return await this.#endedPhase(id)
    const assigned = readJob(row)
    if (assigned === undefined) return Err(damagedRow(`job ${id}`))
    const { cell } = assigned
    this.#rememberCell(id, cell)
    const phase = cell === likelyCell ? likelyPhase : await this.#recordedPhase(id, cell)
    if (phase.err || phase.val !== undefined) return phase
    return Ok(rows.val.rows.some(({ key }) => key === cancelKey(id)) ? 'cancelled' : 'queued')
  }

  // The phase that the owner of a cell has recorded for a job, unless it is queued.
  async #recordedPhase (id: JobId, cell: CellId): Promise<Result<JobPhase | undefined, AuburnpinError>> {
    const progress = await this.#readOne(PROGRESS_TABLE, cell, id)
    if (progress.err) return progress
    if (progress.val === undefined) return Ok(undefined)
    const phase = readProgress(progress.val.value)?.phase
    if (phase === undefined) return Err(damagedRow(`the progress of job ${id}`))
    return Ok(phase === 'queued' ? undefined : phase)
  }

  // The phase of a job whose rows have left the other tables. Those must be read first, as they are replaced by this one.
  async #endedPhase (id: JobId): Promise<Result<JobPhase | undefined, AuburnpinError>> {
    const row = await this.#readOne(ENDED_JOBS_TABLE, jobPart(id), id)
    if (row.err) return row
    if (row.val === undefined) return Ok(undefined)
    const ended = readEndedJob(row.val.value)
    return ended === undefined ? Err(damagedRow(`the ended job ${id}`)) : Ok(ended.phase)
  }

  #rememberCell (id: JobId, cell: CellId): void {
    this.#cellOfJob.delete(id)
    this.#cellOfJob.set(id, cell)
    const [oldest] = this.#cellOfJob.keys()
    if (this.#cellOfJob.size > MAX_REMEMBERED_CELLS && oldest !== undefined) this.#cellOfJob.delete(oldest)
  }

  async #readOne (table: string, part: string, key: string): Promise<Result<StoredRow | undefined, AuburnpinError>> {
    const page = await this.#store.range({ table, part, from: key, to: `${key}~` })
    return page.err ? page : Ok(page.val.rows.find(row => row.key === key))
  }

  // A retry after an unknown outcome conflicts with the row that an earlier try stored; the conflict counts as success.
  async #putOnce (transaction: RowTransaction, withinMs: number): Promise<Result<'stored' | 'stored before', AuburnpinError>> {
    const startedAt = this.#clock.now()
    let isUnknown = false
    for (;;) {
      const outcome = await this.#store.transact(transaction)
      if (outcome.ok) return Ok(outcome.val.kind === 'committed' ? 'stored' : 'stored before')
      if (outcome.val.kind === 'unknown-outcome') isUnknown = true
      if (!isUnknown) return outcome
      if (this.#store.isUnavailable || this.#clock.now() - startedAt + RETRY_DELAY_MS >= withinMs) return Err(unknownOutcome(outcome.val))
      await this.#clock.sleep(RETRY_DELAY_MS)
    }
  }
}

/** Summarises the steps for the log: task count, thousandths of a core, memory, estimated duration and special properties of each. */
const describeSteps = ({ steps }: Job): string => steps.map(step => {
  const properties = [step.isFiller ? 'filler' : '', step.isLasting ? 'lasting' : '', step.isSpeculative ? 'speculative' : '', step.maxPerWorker > 0 ? `perWorker${step.maxPerWorker}` : '']
  return `${step.taskCount}x${step.processors}m/${step.memoryMb}MB/${step.estimateMs}ms${properties.map(property => property === '' ? '' : `,${property}`).join('')}`
}).join(' ')

const damagedRow = (what: string): AuburnpinError =>
  new AuburnpinError('corrupt', `The row of ${what} cannot be read`, 'Find what else writes to the tables of auburnpin; delete the row once the job is no longer needed.')

const unknownOutcome = (cause: AuburnpinError): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `The store may or may not have applied the change: ${cause.message}`, 'Send the same request again; it is applied at most once.', { cause })
