/**
 * Reads all rows of some parts of a table.
 */
import { brand, Ok, type AuburnpinError, type Clock, type Instant, type Result, type RowVersion } from '@auburnpin/common'
import { PageSize } from './PageSize.ts'
import type { RowStore, StoredRow } from './RowStore.ts'

/** Rows that were read at different versions of the store, and the first and the last of these. */
export type TableRows = Readonly<{ rows: readonly StoredRow[], oldestVersion: RowVersion, newestVersion: RowVersion }>

/** Pages requested at the same time: few enough that commits of a term get through a narrow link beside them. */
const MAX_OPEN_PAGES = 3

/** A part that isn't read to its end yet. */
type OpenPart = { readonly part: string, from: string }

/**
 * Reads page by page and keeps what it has: after a failure, `read` continues with the pages that are missing.
 *
 * @example
 * const reader = new TableReader(store, clock, 'jobs', ['jobs-0', 'jobs-1'])
 * let read = await reader.read()
 * if (read.err) read = await reader.read()
 */
export class TableReader {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #table: string
  readonly #open: OpenPart[]
  readonly #rows: StoredRow[] = []
  readonly #pageSize = new PageSize()
  readonly #onPage: () => void
  #oldestVersion = brand<RowVersion>(Infinity)
  #newestVersion = brand<RowVersion>(0)

  /** `onPage` is called with each page that arrives. */
  constructor (store: RowStore, clock: Clock, table: string, parts: readonly string[], onPage: () => void = () => {}) {
    this.#store = store
    this.#clock = clock
    this.#table = table
    this.#open = parts.map(part => ({ part, from: '' }))
    this.#onPage = onPage
  }

  /** Number of rows that have arrived. */
  get rowCount (): number {
    return this.#rows.length
  }

  /** Reads what is missing. The rows of each part are in the order of their keys. */
  async read (): Promise<Result<TableRows, AuburnpinError>> {
    const waiting = [...this.#open]
    let failure: Result<void, AuburnpinError> | undefined
    const readParts = async (): Promise<void> => {
      for (let part = waiting.shift(); part !== undefined && failure === undefined; part = waiting.shift()) {
        const outcome = await this.#readPart(part, () => failure !== undefined)
        if (outcome.err) failure ??= outcome
      }
    }
    await Promise.all(Array.from({ length: MAX_OPEN_PAGES }, readParts))
    if (failure?.err === true) return failure
    return Ok({ rows: this.#rows, oldestVersion: this.#oldestVersion, newestVersion: this.#newestVersion })
  }

  async #readPart (open: OpenPart, hasFailed: () => boolean): Promise<Result<void, AuburnpinError>> {
    while (!hasFailed()) {
      const requestedAt = this.#clock.now()
      const page = await this.#store.range({ table: this.#table, part: open.part, from: open.from, to: '', limit: this.#pageSize.limit })
      if (page.err) {
        this.#pageSize.pageFailed()
        return page
      }
      const { rows, hasMore, version } = page.val
      this.#keep(rows, version, requestedAt)
      const last = rows.at(-1)
      if (!hasMore || last === undefined) {
        this.#open.splice(this.#open.indexOf(open), 1)
        break
      }
      open.from = `${last.key}\u0000`
    }
    return Ok(undefined)
  }

  #keep (rows: readonly StoredRow[], version: RowVersion, requestedAt: Instant): void {
    for (const row of rows) this.#rows.push(row)
    this.#oldestVersion = brand<RowVersion>(Math.min(this.#oldestVersion, version))
    this.#newestVersion = brand<RowVersion>(Math.max(this.#newestVersion, version))
    this.#pageSize.pageArrived(this.#clock.now() - requestedAt)
    this.#onPage()
  }
}
