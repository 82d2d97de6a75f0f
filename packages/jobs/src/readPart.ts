/**
 * Reads all rows of one part of a table.
 */
import { Ok, type AuburnpinError, type Result, type RowVersion } from '@auburnpin/common'
import type { RowStore, StoredRow } from './RowStore.ts'
import { ABSENT_ROW_VERSION } from './rows.ts'

/** All rows of a part, and the store's version when the read began. */
export type PartRows = Readonly<{ rows: readonly StoredRow[], version: RowVersion }>

/**
 * Reads a part page by page. A row that changes during the read is among the table's changes after `version`.
 *
 * @example
 * const jobs = await readPart(store, 'jobs', 'jobs-0')
 */
export const readPart = async (store: RowStore, table: string, part: string): Promise<Result<PartRows, AuburnpinError>> => {
  const rows: StoredRow[] = []
  let version = ABSENT_ROW_VERSION
  let from = ''
  for (;;) {
    const page = await store.range({ table, part, from, to: '' })
    if (page.err) return page
    if (version === ABSENT_ROW_VERSION) version = page.val.version
    rows.push(...page.val.rows)
    const last = page.val.rows.at(-1)
    if (!page.val.hasMore || last === undefined) return Ok({ rows, version })
    from = `${last.key}\u0000`
  }
}
