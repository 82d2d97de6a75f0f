/**
 * Interface of the durable store: rows in tables that are divided into parts. A transaction changes rows of one part.
 */
import type { AuburnpinError, Branded, Result, RowVersion } from '@auburnpin/common'

/** One row. */
export type StoredRow = Readonly<{ table: string, part: string, key: string, value: string, version: RowVersion }>

/** Identifies a row within the part of a transaction. */
export type RowKey = Readonly<{ table: string, key: string }>

/** An atomic change of several rows of one part. */
export type RowTransaction = Readonly<{
  part: string
  /** Versions that rows must have for the change to be made; 0 for a row that must not exist. */
  checks: readonly Readonly<RowKey & { version: RowVersion }>[]
  puts: readonly Readonly<RowKey & { value: string }>[]
  deletes: readonly RowKey[]
}>

/** A reading of the store's own steady clock in milliseconds, the same for all processes. */
export type StoreTime = Branded<number, 'StoreTime'>

/**
 * Result of a transaction. `conflict`: nothing was changed, and `rows` contains those that failed their checks as of
 * `version`, perhaps with others that were checked. `storeTime` was read between the call and its response; a store may omit it.
 */
export type RowTransactionOutcome =
  | Readonly<{ kind: 'committed', version: RowVersion, storeTime?: StoreTime }>
  | Readonly<{ kind: 'conflict', rows: readonly StoredRow[], version?: RowVersion }>

/** A range of keys of one part, from `from` inclusive to `to` exclusive; an empty bound means no bound. A page has at most `limit` rows. */
export type RowRange = Readonly<{ table: string, part: string, from: string, to: string, limit?: number }>

/** A consistent page of rows of a range, with the store's version and its clock, if it states it, at the time of the read. */
export type RowPage = Readonly<{ rows: readonly StoredRow[], hasMore: boolean, version: RowVersion, storeTime?: StoreTime }>

/** Changes of a table after a version, in order, with the last one of each row. `trimmed`: the store no longer has all of them. */
export type RowChanges =
  | Readonly<{ kind: 'changes', changed: readonly StoredRow[], deleted: readonly RowKey[], version: RowVersion }>
  | Readonly<{ kind: 'trimmed' }>

/** Bytes of a value whose base64 form takes 65,536 bytes. */
const DEFAULT_MAX_VALUE_BYTES = 49_152

/**
 * Client of the store. Errors: `overloaded` and `unreachable` mean that nothing was changed, `unknown-outcome`
 * that the change may have been made, or may still be made later if its checks hold by then.
 *
 * @example
 * const outcome = await store.transact({ part: 'p', checks: [], puts: [{ table: 't', key: 'k', value: 'v' }], deletes: [] })
 */
export abstract class RowStore {
  /** Most bytes of a row's value. */
  get maxValueBytes (): number {
    return DEFAULT_MAX_VALUE_BYTES
  }

  abstract transact (transaction: RowTransaction): Promise<Result<RowTransactionOutcome, AuburnpinError>>
  abstract range (range: RowRange): Promise<Result<RowPage, AuburnpinError>>
  /** Waits up to `waitMs` for a change after `after`; without one it returns no changes. */
  abstract changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>>
}
