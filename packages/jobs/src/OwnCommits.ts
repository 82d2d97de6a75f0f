/**
 * Rows of a table that this process has changed itself, until it has read the changes.
 */
import type { RowVersion } from '@auburnpin/common'
import type { RowTransaction, RowTransactionOutcome, StoredRow } from './RowStore.ts'

/** What a row was at a version; without `row`, it didn't exist. */
type KnownRow = Readonly<{ version: RowVersion, row: StoredRow | undefined }>

/**
 * Whoever changes a row and acts on it at once knows more than a read that began before. What was read goes through here,
 * so that nobody is told of an earlier state of such a row. Keys must differ between the parts of the table.
 *
 * @example
 * commits.record(transaction, outcome)
 * const rows = commits.applyTo(state.rows, state.version)
 */
export class OwnCommits {
  readonly #table: string
  readonly #known = new Map<string, KnownRow>()
  #readUntil = 0

  constructor (table: string) {
    this.#table = table
  }

  /** Number of rows whose changes have not been read yet. */
  get size (): number {
    return this.#known.size
  }

  /** Records what a response shows: the rows that were changed, or those that kept a transaction from being made. */
  record ({ part, checks, puts, deletes }: RowTransaction, outcome: RowTransactionOutcome): void {
    const { version } = outcome
    if (version === undefined || version <= this.#readUntil) return
    if (outcome.kind === 'conflict') {
      for (const row of outcome.rows) this.#keep(row.table, row.key, version, row)
      // Without a row in the response, the only one that was checked doesn't exist.
      const [only] = checks
      if (only !== undefined && checks.length === 1 && outcome.rows.length === 0) this.#keep(only.table, only.key, version, undefined)
      return
    }
    for (const { table, key, value } of puts) this.#keep(table, key, version, { table, part, key, value, version })
    for (const { table, key } of deletes) this.#keep(table, key, version, undefined)
  }

  #keep (table: string, key: string, version: RowVersion, row: StoredRow | undefined): void {
    if (table === this.#table && version >= (this.#known.get(key)?.version ?? 0)) this.#known.set(key, { version, row })
  }

  /** The rows of the table, as read at a version, with the changes that this process has made since. */
  applyTo (rows: ReadonlyMap<string, StoredRow>, version: RowVersion): readonly StoredRow[] {
    const current = new Map(rows)
    for (const [key, known] of this.#known) {
      if (known.version <= version) continue
      if (known.row === undefined) current.delete(key)
      else current.set(key, known.row)
    }
    return [...current.values()]
  }

  /** Whether what was read of a row, at a version of the store, is older than what this process knows. */
  isOutdated (key: string, version: RowVersion): boolean {
    return (this.#known.get(key)?.version ?? 0) > version
  }

  /** All changes up to a version have been read. */
  forgetUntil (version: RowVersion): void {
    this.#readUntil = Math.max(this.#readUntil, version)
    for (const [key, known] of this.#known) if (known.version <= version) this.#known.delete(key)
  }
}
