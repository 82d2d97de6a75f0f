/**
 * A term that this process has claimed.
 */
import type { CellId, Instant, RowVersion } from '@auburnpin/common'
import type { Term } from './rows.ts'

/**
 * The term, the version of its row, and when the claim was sent, on the steady and on the wall clock. From
 * `earlierTermOverAt` on no earlier owner has held its term.
 */
export type ClaimedTerm = Readonly<{ cell: CellId, term: Term, version: RowVersion, claimedAt: Instant, claimedAtWall: number, earlierTermOverAt: Instant }>
