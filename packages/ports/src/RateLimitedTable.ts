/**
 * A table store whose calls go through the process's rate limiters and circuit breaker.
 */
import type { AuburnpinError, Result } from '@auburnpin/common'
import type { CallClassifier } from './CallClass.ts'
import type { StoreGate } from './StoreGate.ts'
import { TableStore } from './TableStore.ts'
import type { Row, RowPage, Transaction, TransactionOutcome } from './types.ts'

/** Sends each call when the rate limit allows it, unless the circuit breaker is open. */
export class RateLimitedTable extends TableStore {
  readonly #inner: TableStore
  readonly #gate: StoreGate
  readonly #classify: CallClassifier

  constructor (inner: TableStore, gate: StoreGate, classify: CallClassifier) {
    super()
    this.#inner = inner
    this.#gate = gate
    this.#classify = classify
  }

  read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    return this.#gate.read(this.#classify([key]), () => this.#inner.read(key))
  }

  list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    return this.#gate.read(this.#classify([prefix]), () => this.#inner.list(prefix, after, limit))
  }

  transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    const keys = [...transaction.puts.map(put => put.key), ...transaction.deletes]
    return this.#gate.write(this.#classify(keys), () => this.#inner.transact(transaction))
  }
}
