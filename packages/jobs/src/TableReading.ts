/**
 * Reads a whole table as of one version of the store.
 */
import { AuburnpinError, Err, Ok, type Clock, type Instant, type Result, type RowVersion } from '@auburnpin/common'
import type { RowStore, StoredRow } from './RowStore.ts'
import { TableReader } from './TableReader.ts'

/** The rows of a table by their keys, the version that they had, and a time at which they were up to date. */
export type TableState = Readonly<{ rows: ReadonlyMap<string, StoredRow>, version: RowVersion, currentAt: Instant }>

/** The store responds at once if nothing has changed. */
const NO_WAIT_MS = 1

/**
 * The parts are read a few at a time, at different versions. The changes since the oldest are then applied to what was read,
 * until it is as of one version. A failed `run` is repeated with what is missing.
 *
 * @example
 * const state = await new TableReading(store, clock, 'jobs', parts).run()
 */
export class TableReading {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #table: string
  readonly #reader: TableReader
  readonly #rows = new Map<string, StoredRow>()
  #version: RowVersion | undefined
  #isTrimmed = false

  /** `onPage` is called with each page that arrives. */
  constructor (store: RowStore, clock: Clock, table: string, parts: readonly string[], onPage?: () => void) {
    this.#store = store
    this.#clock = clock
    this.#table = table
    this.#reader = new TableReader(store, clock, table, parts, onPage)
  }

  /** Whether the store no longer has the changes that are missing, so that the table has to be read anew. */
  get isTrimmed (): boolean {
    return this.#isTrimmed
  }

  get rowCount (): number {
    return this.#reader.rowCount
  }

  async run (): Promise<Result<TableState, AuburnpinError>> {
    let currentAt = this.#clock.now()
    const read = await this.#reader.read()
    if (read.err) return read
    const { rows, oldestVersion, newestVersion } = read.val
    if (this.#version === undefined) {
      this.#version = oldestVersion
      for (const row of rows) this.#rows.set(row.key, row)
    }
    while (this.#version < newestVersion) {
      currentAt = this.#clock.now()
      const applied = await this.#applyChanges(this.#version)
      if (applied.err) return applied
      this.#version = applied.val
    }
    return Ok({ rows: this.#rows, version: this.#version, currentAt })
  }

  async #applyChanges (after: RowVersion): Promise<Result<RowVersion, AuburnpinError>> {
    const outcome = await this.#store.changes(this.#table, after, NO_WAIT_MS)
    if (outcome.err) return outcome
    if (outcome.val.kind === 'trimmed') {
      this.#isTrimmed = true
      return Err(new AuburnpinError('unreachable', 'The store has trimmed changes during the read of a table', 'The table is read again automatically.'))
    }
    const { changed, deleted, version } = outcome.val
    for (const row of changed) this.#rows.set(row.key, row)
    for (const { key } of deleted) this.#rows.delete(key)
    return Ok(version)
  }
}
