/**
 * An in-memory table store, as one member accesses it.
 */
import { brand, Ok, type AuburnpinError, type Result, type RowVersion, type TransactionId } from '@auburnpin/common'
import { TableStore, type Row, type RowPage, type Transaction, type TransactionOutcome } from '@auburnpin/ports'
import { MemoryTable, type MemoryRow } from '@auburnpin/stand-in'
import type { FakeLink } from './FakeLink.ts'

type StoredValue = Readonly<{ transaction: TransactionId, value: unknown }>

/** One member's client of a shared `MemoryTable`; calls are delivered by the link. */
export class FakeTableStore extends TableStore {
  readonly #table: MemoryTable
  readonly #link: FakeLink
  readonly #member: string

  constructor (table: MemoryTable, link: FakeLink, member: string) {
    super()
    this.#table = table
    this.#link = link
    this.#member = member
  }

  read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    return this.#link.deliver(this.#member, 'store', `read ${key}`, () => {
      const row = this.#table.read(key)
      return Ok(row === null ? null : toRow(row))
    })
  }

  list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    return this.#link.deliver(this.#member, 'store', `list ${prefix}`, () => {
      const page = this.#table.list(prefix, after, limit)
      return Ok({ rows: page.rows.map(toRow), hasMore: page.hasMore })
    })
  }

  transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    // A real store keeps a copy; with shared objects, later changes by the caller would alter the stored value.
    const puts = transaction.puts.map(({ key, value }) => ({ key, value: { transaction: transaction.id, value: structuredClone(value) } }))
    return this.#link.deliver(this.#member, 'store', `transact ${transaction.puts[0]?.key ?? ''}`, (): Result<TransactionOutcome, AuburnpinError> => {
      const outcome = this.#table.transact({ ...transaction, puts })
      if (outcome.outcome === 'committed') return Ok({ kind: 'committed', version: brand<RowVersion>(outcome.version) })
      return Ok({ kind: 'conflict', key: outcome.key, row: outcome.row === null ? null : toRow(outcome.row) })
    })
  }
}

const toRow = (row: MemoryRow): Row => {
  const { transaction, value } = row.value as StoredValue
  return { key: row.key, version: brand<RowVersion>(row.version), transaction, value: structuredClone(value) }
}
