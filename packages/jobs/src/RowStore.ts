/**
 * The store that lasts: rows in tables, each table in parts, changed by transactions within a part.
 */
import type { AuburnpinError, Result, RowVersion } from '@auburnpin/common'

/** One row. */
export type StoredRow = Readonly<{ table: string, part: string, key: string, value: string, version: RowVersion }>

/** Names a row within the transaction's part. */
export type RowKey = Readonly<{ table: string, key: string }>

/** A change of several rows of one part, all or none. */
export type RowChange = Readonly<{
  part: string
  /** Versions that rows must have; 0 for a row that must not exist. */
  checks: readonly Readonly<RowKey & { version: RowVersion }>[]
  puts: readonly Readonly<RowKey & { value: string }>[]
  deletes: readonly RowKey[]
}>

/** What came of a change: done, or refused because of rows that differ from the checks. */
export type RowOutcome =
  | Readonly<{ kind: 'committed', version: RowVersion }>
  | Readonly<{ kind: 'conflict', rows: readonly StoredRow[] }>

/** A range of keys of one part, `from` included and `to` excluded; both may be empty. */
export type RowRange = Readonly<{ table: string, part: string, from: string, to: string }>

/** Rows of a range at one moment, with the store's version at that moment. */
export type RowPage = Readonly<{ rows: readonly StoredRow[], hasMore: boolean, version: RowVersion }>

/** Changes of a table after a version, in order. `trimmed`: the store no longer has them. */
export type RowChanges =
  | Readonly<{ kind: 'changes', changed: readonly StoredRow[], deleted: readonly RowKey[], version: RowVersion }>
  | Readonly<{ kind: 'trimmed' }>

/**
 * Client of the store. Errors: `overloaded` and `unreachable` mean that nothing was done, `unknown-outcome`
 * that the change may have been made, or may still be made while its checks hold.
 *
 * @example
 * const outcome = await store.transact({ part: 'p', checks: [], puts: [{ table: 't', key: 'k', value: 'v' }], deletes: [] })
 */
export abstract class RowStore {
  abstract transact (change: RowChange): Promise<Result<RowOutcome, AuburnpinError>>
  abstract range (range: RowRange): Promise<Result<RowPage, AuburnpinError>>
  /** Answers as soon as there is a change, or with none after `waitMs`. */
  abstract changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>>
}
