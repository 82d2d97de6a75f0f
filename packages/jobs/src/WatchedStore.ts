/**
 * A store that knows whether it answers.
 */
import { AuburnpinError, Err, type Clock, type Instant, type Log, type Metrics, type Result, type RowVersion } from '@auburnpin/common'
import { RowStore, type RowChange, type RowChanges, type RowOutcome, type RowPage, type RowRange } from './RowStore.ts'

/** So many failures on end, whatever the calls, and the store counts as away. */
const FAILURES_TO_BE_AWAY = 2

/** An error that says nothing about whether the store answers. */
const ANSWERED_KINDS: ReadonlySet<string> = new Set(['overloaded', 'invalid-request'])

/**
 * Passes every call on. Feeds and polls go on while the store is away, so its return shows within a second.
 *
 * @example
 * const store = new WatchedStore(client, clock, log, metrics)
 * if (store.isAway) refuse()
 */
export class WatchedStore extends RowStore {
  readonly #inner: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #metrics: Metrics
  #failures = 0
  #awaySince: Instant | undefined

  constructor (inner: RowStore, clock: Clock, log: Log, metrics: Metrics) {
    super()
    this.#inner = inner
    this.#clock = clock
    this.#log = log
    this.#metrics = metrics
  }

  /** Whether the last calls all failed. */
  get isAway (): boolean {
    return this.#awaySince !== undefined
  }

  transact (change: RowChange): Promise<Result<RowOutcome, AuburnpinError>> {
    return this.#watch('transact', this.#inner.transact(change))
  }

  range (range: RowRange): Promise<Result<RowPage, AuburnpinError>> {
    return this.#watch('range', this.#inner.range(range))
  }

  changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>> {
    return this.#watch('changes', this.#inner.changes(table, after, waitMs))
  }

  async #watch<Value> (name: string, call: Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    const startedAt = this.#clock.now()
    const outcome = await call
    this.#metrics.count('store.calls', 1, { call: name, outcome: outcome.ok ? 'ok' : outcome.val.kind })
    this.#metrics.timing('store.duration', this.#clock.now() - startedAt, { call: name })
    if (outcome.ok || ANSWERED_KINDS.has(outcome.val.kind)) this.#noteAnswer()
    else this.#noteFailure(outcome.val)
    return outcome
  }

  #noteAnswer (): void {
    this.#failures = 0
    if (this.#awaySince === undefined) return
    this.#log.info('Store answers again', { awayMs: Math.round(this.#clock.now() - this.#awaySince) })
    this.#awaySince = undefined
  }

  #noteFailure (error: AuburnpinError): void {
    this.#failures++
    if (this.#failures < FAILURES_TO_BE_AWAY || this.#awaySince !== undefined) return
    this.#awaySince = this.#clock.now()
    this.#log.warn('Store does not answer', { failures: this.#failures, error: error.message })
  }
}

/** The error of a call that isn't made because the store is away. */
export const storeAway = (): Err<AuburnpinError> =>
  Err(new AuburnpinError('unreachable', 'The store does not answer; nothing was sent', 'Try again in some seconds, or at another process.'))
