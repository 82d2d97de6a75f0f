/**
 * A table store that finds out what became of a transaction whose answer was lost.
 */
import { AuburnpinError, Err, Ok, type Clock, type Random, type Result } from '@auburnpin/common'
import { TableStore } from './TableStore.ts'
import type { Row, RowCheck, RowPage, Transaction, TransactionOutcome } from './types.ts'

const FIRST_BACKOFF_MS = 50
const LONGEST_BACKOFF_MS = 2_000

/**
 * Repeats a transaction only under its own checks. Every transaction must check a row that it also
 * writes, so a repeat after a commit meets a conflict on a row that carries the transaction's own id.
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
      return Err(new AuburnpinError('invalid-request', `Transaction ${transaction.id} checks no row that it writes`, 'Check the version or the absence of a row that is written.'))
    }
    const start = this.#clock.now()
    let backoffMs = FIRST_BACKOFF_MS
    let isUnknown = false
    for (;;) {
      const outcome = await this.#inner.transact(transaction)
      if (outcome.ok) return await this.#judge(transaction, witness, outcome.val)
      if (outcome.val.kind === 'unknown-outcome') isUnknown = true
      if (this.#clock.now() - start >= this.#deadlineMs) return Err(isUnknown ? toUnknown(transaction, outcome.val) : outcome.val)
      await this.#clock.sleep(backoffMs * this.#random.fraction())
      backoffMs = Math.min(backoffMs * 2, LONGEST_BACKOFF_MS)
    }
  }

  // A conflict on any row may be this transaction's own earlier effect; only the witness tells.
  async #judge (transaction: Transaction, witness: RowCheck, outcome: TransactionOutcome): Promise<Result<TransactionOutcome, AuburnpinError>> {
    if (outcome.kind === 'committed') return Ok(outcome)
    const row = outcome.key === witness.key ? Ok(outcome.row) : await this.#inner.read(witness.key)
    if (row.err) return Err(toUnknown(transaction, row.val))
    if (row.val?.transaction === transaction.id) return Ok({ kind: 'committed', version: row.val.version })
    return Ok(outcome)
  }
}

const findWitness = (transaction: Transaction): RowCheck | undefined =>
  transaction.checks.find(check => transaction.puts.some(put => put.key === check.key))

const toUnknown = (transaction: Transaction, cause: AuburnpinError): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `Transaction ${transaction.id} may have been committed: ${cause.message}`, 'Send the same transaction again; it commits at most once.', { cause })
