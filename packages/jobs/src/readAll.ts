/**
 * Reads a whole part of a table.
 */
import { Ok, type AuburnpinError, type Result, type RowVersion } from '@auburnpin/common'
import type { RowStore, StoredRow } from './RowStore.ts'
import { NO_ROW } from './rows.ts'

/** Rows of a part, and the store's version when the reading began. */
export type WholePart = Readonly<{ rows: readonly StoredRow[], version: RowVersion }>

/**
 * Reads a part page by page. A row that changes meanwhile is in the changes after `version`.
 *
 * @example
 * const jobs = await readAll(store, 'jobs', 'jobs-0')
 */
export const readAll = async (store: RowStore, table: string, part: string): Promise<Result<WholePart, AuburnpinError>> => {
  const rows: StoredRow[] = []
  let version = NO_ROW
  let from = ''
  for (;;) {
    const page = await store.range({ table, part, from, to: '' })
    if (page.err) return page
    if (version === NO_ROW) version = page.val.version
    rows.push(...page.val.rows)
    const last = page.val.rows.at(-1)
    if (!page.val.hasMore || last === undefined) return Ok({ rows, version })
    from = `${last.key}\u0000`
  }
}
