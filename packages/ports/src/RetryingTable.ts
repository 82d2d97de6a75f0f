/**
 * A table store that retries transactions and resolves the outcome of one whose response was lost.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type Random, type Result, type RowVersion } from '@auburnpin/common'
import { TableStore } from './TableStore.ts'
import type { Row, RowPage, Transaction, TransactionOutcome } from './types.ts'

const FIRST_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 2_000

/**
 * Retries a transaction with its own checks, so that it commits at most once. Every transaction must check a row
 * that it also writes: a retry after a commit then conflicts, and that row contains the transaction's own id.
 * A transaction that only deletes the rows it checks counts as committed once the row no longer exists.
 */
export class RetryingTable extends TableStore {
  readonly #inner: TableStore
  readonly #clock: Clock
  readonly #random: Random
  readonly #deadlineMs: number

  constructor (inner: TableStore, clock: Clock, random: Random, deadlineMs: number) {
    super()
    this.#inner = inner
    this.#clock = clock
    this.#random = random
    this.#deadlineMs = deadlineMs
  }

  read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    return this.#inner.read(key)
  }

  list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    return this.#inner.list(prefix, after, limit)
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    const marker = findCommitMarker(transaction)
    if (marker === undefined) {
      return Err(new AuburnpinError('invalid-request', `Transaction ${transaction.id} checks no row that it writes or deletes`, 'Add a check of the version or the absence of such a row.'))
    }
    const start = this.#clock.now()
    let backoffMs = FIRST_BACKOFF_MS
    let isUnknown = false
    for (;;) {
      const outcome = await this.#inner.transact(transaction)
      const resolved = outcome.ok ? await this.#resolveOutcome(transaction, marker, outcome.val) : outcome
      if (resolved.ok) return resolved
      if (outcome.ok || resolved.val.kind === 'unknown-outcome') isUnknown = true
      if (this.#clock.now() - start >= this.#deadlineMs) return Err(isUnknown ? unknownOutcome(transaction, resolved.val) : resolved.val)
      await this.#clock.sleep(backoffMs * this.#random.fraction())
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS)
    }
  }

  // A conflict on any row may be the effect of an earlier try of this transaction, also in an earlier call; the marker decides.
  async #resolveOutcome (transaction: Transaction, marker: CommitMarker, outcome: TransactionOutcome): Promise<Result<TransactionOutcome, AuburnpinError>> {
    if (outcome.kind === 'committed') return Ok(outcome)
    const row = outcome.key === marker.key ? Ok(outcome.row) : await this.#inner.read(marker.key)
    if (row.err) return row
    const isOwn = marker.isDeleted ? row.val === null : row.val?.transaction === transaction.id
    if (!isOwn) return Ok(outcome)
    return Ok({ kind: 'committed', version: row.val?.version ?? NO_VERSION })
  }
}

/** The row that shows whether a transaction was committed. */
type CommitMarker = Readonly<{ key: string, isDeleted: boolean }>

const NO_VERSION = brand<RowVersion>(0)

// A row that the transaction creates is the best marker: another transaction may change an existing row and overwrite the id.
const findCommitMarker = ({ checks, puts, deletes }: Transaction): CommitMarker | undefined => {
  const written = checks.filter(check => puts.some(put => put.key === check.key))
  const markerCheck = written.find(check => check.kind === 'absent') ?? written[0]
  if (markerCheck !== undefined) return { key: markerCheck.key, isDeleted: false }
  const deleted = checks.find(check => deletes.includes(check.key))
  return deleted === undefined ? undefined : { key: deleted.key, isDeleted: true }
}

const unknownOutcome = (transaction: Transaction, cause: AuburnpinError): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `Transaction ${transaction.id} may have been committed: ${cause.message}`, 'Send the same transaction again; it commits at most once.', { cause })
