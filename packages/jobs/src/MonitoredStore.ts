/**
 * A client of the store that detects whether the store is available.
 */
import { AuburnpinError, Err, type Clock, type Instant, type Log, type Metrics, type Result, type RowVersion } from '@auburnpin/common'
import { RowStore, type RowTransaction, type RowChanges, type RowTransactionOutcome, type RowPage, type RowRange } from './RowStore.ts'

/** The store counts as unavailable after this many consecutive failures of any calls. */
const FAILURES_UNTIL_UNAVAILABLE = 2

/** Errors that the store itself returns, so that it is available. */
const AVAILABLE_ERROR_KINDS: ReadonlySet<string> = new Set(['overloaded', 'invalid-request'])

/**
 * Forwards every call and records its outcome. The feeds and polls of this process continue while the store is
 * unavailable, so its recovery is detected within a second.
 *
 * @example
 * const store = new MonitoredStore(client, clock, log, metrics)
 * if (store.isUnavailable) refuse()
 */
export class MonitoredStore extends RowStore {
  readonly #inner: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #metrics: Metrics
  #failures = 0
  #unavailableSince: Instant | undefined

  constructor (inner: RowStore, clock: Clock, log: Log, metrics: Metrics) {
    super()
    this.#inner = inner
    this.#clock = clock
    this.#log = log
    this.#metrics = metrics
  }

  /** Whether the store is unavailable, since the last calls all failed. */
  get isUnavailable (): boolean {
    return this.#unavailableSince !== undefined
  }

  override get maxValueBytes (): number {
    return this.#inner.maxValueBytes
  }

  transact (transaction: RowTransaction): Promise<Result<RowTransactionOutcome, AuburnpinError>> {
    return this.#observe('transact', this.#inner.transact(transaction))
  }

  range (range: RowRange): Promise<Result<RowPage, AuburnpinError>> {
    return this.#observe('range', this.#inner.range(range))
  }

  changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>> {
    return this.#observe('changes', this.#inner.changes(table, after, waitMs))
  }

  async #observe<Value> (name: string, call: Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    const startedAt = this.#clock.now()
    const outcome = await call
    this.#metrics.count('store.calls', 1, { call: name, outcome: outcome.ok ? 'ok' : outcome.val.kind })
    this.#metrics.timing('store.duration', this.#clock.now() - startedAt, { call: name })
    if (outcome.ok || AVAILABLE_ERROR_KINDS.has(outcome.val.kind)) this.#recordResponse()
    else this.#recordFailure(outcome.val)
    return outcome
  }

  #recordResponse (): void {
    this.#failures = 0
    if (this.#unavailableSince === undefined) return
    this.#log.info('Store is available again', { awayMs: Math.round(this.#clock.now() - this.#unavailableSince) })
    this.#unavailableSince = undefined
  }

  #recordFailure (error: AuburnpinError): void {
    this.#failures++
    if (this.#failures < FAILURES_UNTIL_UNAVAILABLE || this.#unavailableSince !== undefined) return
    this.#unavailableSince = this.#clock.now()
    this.#log.warn('Store is unavailable', { failures: this.#failures, error: error.message })
  }
}

/** Error of a call that is not sent because the store is unavailable. */
export const storeUnavailable = (): Err<AuburnpinError> =>
  Err(new AuburnpinError('unreachable', 'The store is unavailable; nothing was sent', 'Try again in a few seconds, or use another process.'))
