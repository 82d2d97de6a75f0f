/**
 * A client of the store that records what it commits to one table.
 */
import type { AuburnpinError, Result, RowVersion } from '@auburnpin/common'
import type { OwnCommits } from './OwnCommits.ts'
import { RowStore, type RowChanges, type RowPage, type RowRange, type RowTransaction, type RowTransactionOutcome } from './RowStore.ts'

/**
 * Forwards every call and records the rows that its transactions change, before whoever sent them learns of the outcome.
 *
 * @example
 * const store = new RecordingStore(client, commits)
 * const follower = new TableFollower(store, clock, log, 'jobs', parts, listener, { commits })
 */
export class RecordingStore extends RowStore {
  readonly #inner: RowStore
  readonly #commits: OwnCommits

  constructor (inner: RowStore, commits: OwnCommits) {
    super()
    this.#inner = inner
    this.#commits = commits
  }

  override get maxValueBytes (): number {
    return this.#inner.maxValueBytes
  }

  async transact (transaction: RowTransaction): Promise<Result<RowTransactionOutcome, AuburnpinError>> {
    const outcome = await this.#inner.transact(transaction)
    if (outcome.ok) this.#commits.record(transaction, outcome.val)
    return outcome
  }

  range (range: RowRange): Promise<Result<RowPage, AuburnpinError>> {
    return this.#inner.range(range)
  }

  changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>> {
    return this.#inner.changes(table, after, waitMs)
  }
}
