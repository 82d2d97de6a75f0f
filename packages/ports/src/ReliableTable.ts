/**
 * A table store that finds out what became of a transaction whose answer was lost.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type Random, type Result, type RowVersion } from '@auburnpin/common'
import { TableStore } from './TableStore.ts'
import type { Row, RowPage, Transaction, TransactionOutcome } from './types.ts'

const FIRST_BACKOFF_MS = 50
const LONGEST_BACKOFF_MS = 2_000

/**
 * Repeats a transaction only under its own checks. Every transaction must check a row that it also
 * writes, so a repeat after a commit meets a conflict, and that row carries the transaction's own id.
 * A transaction that only deletes what it checks counts as committed once the row is gone.
 */
export class ReliableTable extends TableStore {
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
    const witness = findWitness(transaction)
    if (witness === undefined) {
      return Err(new AuburnpinError('invalid-request', `Transaction ${transaction.id} checks no row that it writes`, 'Check the version or the absence of a row that is written or deleted.'))
    }
    const start = this.#clock.now()
    let backoffMs = FIRST_BACKOFF_MS
    let isUnknown = false
    for (;;) {
      const outcome = await this.#inner.transact(transaction)
      const judged = outcome.ok ? await this.#judge(transaction, witness, outcome.val) : outcome
      if (judged.ok) return judged
      if (outcome.ok || judged.val.kind === 'unknown-outcome') isUnknown = true
      if (this.#clock.now() - start >= this.#deadlineMs) return Err(isUnknown ? toUnknown(transaction, judged.val) : judged.val)
      await this.#clock.sleep(backoffMs * this.#random.fraction())
      backoffMs = Math.min(backoffMs * 2, LONGEST_BACKOFF_MS)
    }
  }

  // A conflict on any row may be this transaction's own earlier effect, also of an earlier call; only the witness tells.
  async #judge (transaction: Transaction, witness: Witness, outcome: TransactionOutcome): Promise<Result<TransactionOutcome, AuburnpinError>> {
    if (outcome.kind === 'committed') return Ok(outcome)
    const row = outcome.key === witness.key ? Ok(outcome.row) : await this.#inner.read(witness.key)
    if (row.err) return row
    const isOwn = witness.isDeleted ? row.val === null : row.val?.transaction === transaction.id
    if (!isOwn) return Ok(outcome)
    return Ok({ kind: 'committed', version: row.val?.version ?? NO_VERSION })
  }
}

/** The row that tells whether a transaction was committed. */
type Witness = Readonly<{ key: string, isDeleted: boolean }>

const NO_VERSION = brand<RowVersion>(0)

// A row made by the transaction is the best witness: others change rows that stand, and would hide the trace.
const findWitness = ({ checks, puts, deletes }: Transaction): Witness | undefined => {
  const written = checks.filter(check => puts.some(put => put.key === check.key))
  const made = written.find(check => check.kind === 'absent') ?? written[0]
  if (made !== undefined) return { key: made.key, isDeleted: false }
  const deleted = checks.find(check => deletes.includes(check.key))
  return deleted === undefined ? undefined : { key: deleted.key, isDeleted: true }
}

const toUnknown = (transaction: Transaction, cause: AuburnpinError): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `Transaction ${transaction.id} may have been committed: ${cause.message}`, 'Send the same transaction again; it commits at most once.', { cause })
