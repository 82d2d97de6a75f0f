/**
 * The interface of the platform's transactional table service.
 */
import { Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { LIST_PAGE_ROWS } from './constants.ts'
import type { Row, RowPage, Transaction, TransactionOutcome } from './types.ts'

/** Reads and writes rows; every failure is a typed error. */
export abstract class TableStore {
  /** Resolves to the row, or to `null` if there is none. */
  abstract read (key: string): Promise<Result<Row | null, AuburnpinError>>
  /** Lists at most `limit` rows whose keys start with `prefix` and come after `after`. */
  abstract list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>>
  /**
   * Commits the transaction as a whole or not at all. Errors: `unreachable` if it was certainly not committed,
   * `unknown-outcome` if the response was lost.
   */
  abstract transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>>

  /** Lists all rows whose keys start with `prefix` and come after `after`. */
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
