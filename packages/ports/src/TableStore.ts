/**
 * The platform's transactional table service, seen from the program.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { LIST_PAGE_ROWS } from './constants.ts'
import type { Row, RowPage, Transaction, TransactionOutcome } from './types.ts'

/** Reads and writes rows; every failure is a typed error. */
export abstract class TableStore {
  /** The row, or `null` if there is none. */
  abstract read (key: string): Promise<Result<Row | null, AuburnpinError>>
  /** Rows whose keys start with `prefix` and come after `after`, at most `limit`. */
  abstract list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>>
  /**
   * Commits or changes nothing. Errors: `unreachable` means surely not committed,
   * `unknown-outcome` means that the answer was lost.
   */
  abstract transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>>

  /** All rows whose keys start with `prefix` and come after `after`. */
  async listAll (prefix: string, after = ''): Promise<Result<readonly Row[], AuburnpinError>> {
    const rows: Row[] = []
    let last = after
    for (;;) {
      const page = await this.list(prefix, last, LIST_PAGE_ROWS)
      if (page.err) return page
      rows.push(...page.val.rows)
      const end = page.val.rows.at(-1)
      if (!page.val.hasMore || end === undefined) return Ok(rows)
      last = end.key
    }
  }
}
