/**
 * Takes jobs and cancellations in, and answers what has become of a job.
 */
import { AuburnpinError, Err, Ok, type Clock, type Instant, type JobId, type Log, type Result } from '@auburnpin/common'
import type { Job, JobPhase } from '@auburnpin/core'
import { CELL } from './constants.ts'
import type { RowChange, StoredRow } from './RowStore.ts'
import { storeAway, type WatchedStore } from './WatchedStore.ts'
import { cancelKey, encodeRow, JOBS_TABLE, keysOfJob, NO_ROW, partOfJob, PROGRESS_TABLE, readProgress } from './rows.ts'

/** Time between two tries of a call whose outcome is unknown, in milliseconds. */
const RETRY_MS = 60

/** Time between two rounds of cancellations that could not be stored, in milliseconds. */
const CANCEL_RETRY_MS = 300
/** How long they are tried, in milliseconds; outlasts the outages that clients wait for. */
const CANCEL_RETRIES_MS = 60_000
/** Most cancellations that wait to be stored; a wave of some hundreds is usual. */
const MAX_UNSTORED_CANCELLATIONS = 2_000

/** Works at any process; the store alone decides. */
export class JobIntake {
  readonly #store: WatchedStore
  readonly #clock: Clock
  readonly #log: Log
  /** Cancellations that could not be stored yet, with the time they came. */
  readonly #unstored = new Map<JobId, Instant>()

  constructor (store: WatchedStore, clock: Clock, log: Log) {
    this.#store = store
    this.#clock = clock
    this.#log = log
  }

  /**
   * Stores a job unless one with its id is stored already; both count as accepted. Errors: `overloaded` and
   * `unreachable` mean that it is surely not stored, `unknown-outcome` that it may be.
   */
  async submit (job: Job, withinMs: number): Promise<Result<void, AuburnpinError>> {
    const key = { table: JOBS_TABLE, key: job.id }
    // What the store can't take now is refused at once; the client may find a process that it serves.
    const outcome = this.#store.isAway ? storeAway() : await this.#putOnce({ part: partOfJob(job.id), checks: [{ ...key, version: NO_ROW }], puts: [{ ...key, value: encodeRow(job) }], deletes: [] }, withinMs)
    this.#log.info('Job submitted', { job: job.id, queue: job.queue, steps: describeSteps(job), outcome: outcome.ok ? outcome.val : outcome.val.kind })
    return outcome.err ? outcome : Ok(undefined)
  }

  /**
   * Makes a job's cancellation durable, also that of a job that isn't stored: a submission without an answer
   * may still be stored later, and must not run then. `false`: no such job so far. Errors as for `submit`; a
   * cancellation that failed is tried on for a while, since the client asked for it and may not ask again.
   */
  async cancel (id: JobId, withinMs: number): Promise<Result<boolean, AuburnpinError>> {
    const outcome = await this.#cancelOnce(id, withinMs)
    this.#log.info('Job cancelled', { job: id, outcome: outcome.ok ? 'stored' : outcome.val.kind, known: outcome.ok ? outcome.val : undefined })
    if (outcome.err) this.#cancelLater(id)
    return outcome
  }

  async #cancelOnce (id: JobId, withinMs: number): Promise<Result<boolean, AuburnpinError>> {
    const startedAt = this.#clock.now()
    const part = partOfJob(id)
    const known = await this.#store.range({ table: JOBS_TABLE, part, ...keysOfJob(id) })
    if (known.err) return known
    const isKnown = known.val.rows.some(row => row.key === id)
    const key = { table: JOBS_TABLE, key: cancelKey(id) }
    const leftMs = withinMs - (this.#clock.now() - startedAt)
    const outcome = await this.#putOnce({ part, checks: [{ ...key, version: NO_ROW }], puts: [{ ...key, value: encodeRow({ cancelledAt: this.#clock.wallTime() }) }], deletes: [] }, leftMs)
    return outcome.err ? outcome : Ok(isKnown)
  }

  #cancelLater (id: JobId): void {
    if (this.#unstored.size < MAX_UNSTORED_CANCELLATIONS) this.#unstored.set(id, this.#clock.now())
    if (this.#unstored.size === 1) void this.#retryCancellations()
  }

  async #retryCancellations (): Promise<void> {
    while (this.#unstored.size > 0) {
      await this.#clock.sleep(CANCEL_RETRY_MS)
      for (const [id, since] of [...this.#unstored]) {
        const outcome = await this.#cancelOnce(id, CANCEL_RETRY_MS)
        const isOver = this.#clock.now() - since > CANCEL_RETRIES_MS
        if (outcome.ok || isOver) {
          this.#unstored.delete(id)
          this.#log.info('Cancellation tried again', { job: id, outcome: outcome.ok ? 'stored' : 'given up' })
        } else if (outcome.val.kind !== 'invalid-request') break
      }
    }
  }

  /** What has become of a job; `undefined` if none was stored. */
  async phaseOf (id: JobId): Promise<Result<JobPhase | undefined, AuburnpinError>> {
    if (this.#store.isAway) return storeAway()
    const progress = await this.#readOne(PROGRESS_TABLE, CELL, id)
    if (progress.err) return progress
    const phase = progress.val === undefined ? 'queued' : readProgress(progress.val.value).phase
    if (phase !== 'queued') return Ok(phase)
    const rows = await this.#store.range({ table: JOBS_TABLE, part: partOfJob(id), ...keysOfJob(id) })
    if (rows.err) return rows
    if (!rows.val.rows.some(row => row.key === id)) return Ok(undefined)
    return Ok(rows.val.rows.some(row => row.key === cancelKey(id)) ? 'cancelled' : 'queued')
  }

  async #readOne (table: string, part: string, key: string): Promise<Result<StoredRow | undefined, AuburnpinError>> {
    const page = await this.#store.range({ table, part, from: key, to: `${key}~` })
    return page.err ? page : Ok(page.val.rows.find(row => row.key === key))
  }

  // A repeat meets the row of the first try, which is a conflict and means the same.
  async #putOnce (change: RowChange, withinMs: number): Promise<Result<'stored' | 'stored before', AuburnpinError>> {
    const startedAt = this.#clock.now()
    let isUnknown = false
    for (;;) {
      const outcome = await this.#store.transact(change)
      if (outcome.ok) return Ok(outcome.val.kind === 'committed' ? 'stored' : 'stored before')
      if (outcome.val.kind === 'unknown-outcome') isUnknown = true
      if (!isUnknown) return outcome
      if (this.#store.isAway || this.#clock.now() - startedAt + RETRY_MS >= withinMs) return Err(stillUnknown(outcome.val))
      await this.#clock.sleep(RETRY_MS)
    }
  }
}

/** The steps in short: tasks, milli-processors, memory and what is special of each. */
const describeSteps = ({ steps }: Job): string => steps.map(step => {
  const marks = [step.isFiller ? 'filler' : '', step.isLasting ? 'lasting' : '', step.isSpeculative ? 'speculative' : '', step.maxPerWorker > 0 ? `perWorker${step.maxPerWorker}` : '']
  return `${step.taskCount}x${step.processors}m/${step.memoryMb}MB/${step.estimateMs}ms${marks.map(mark => mark === '' ? '' : `,${mark}`).join('')}`
}).join(' ')

const stillUnknown = (cause: AuburnpinError): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `The store may or may not have taken it: ${cause.message}`, 'Send the same again; it counts once.', { cause })
