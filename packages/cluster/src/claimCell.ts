/**
 * Claims and releases the ownership of a cell, each in one transaction on the cell's row.
 */
import { brand, Ok, type AuburnpinError, type CellId, type Epoch, type Random, type Result } from '@auburnpin/common'
import { newTransactionId, type RowCheck, type TableStore } from '@auburnpin/ports'
import type { ObservedCell } from './CellDirectory.ts'
import type { MemberIdentity } from './Membership.ts'
import { cellKey } from './storeKeys.ts'
import type { CellRow } from './types.ts'

/** A term of ownership, with the row version that every journal append checks. */
export type ClaimedCell = Readonly<{ cell: CellId, epoch: Epoch, check: RowCheck }>

/** Claims a cell; `null` if its row has changed since it was observed. */
export const claimCell = async (
  table: TableStore, random: Random, identity: MemberIdentity, cell: CellId, observed: ObservedCell | undefined
): Promise<Result<ClaimedCell | null, AuburnpinError>> => {
  const key = cellKey(cell)
  const epoch = brand<Epoch>((observed?.row.epoch ?? 0) + 1)
  const row: CellRow = { cell, epoch, owner: identity.member, incarnation: identity.incarnation }
  const check: RowCheck = observed === undefined ? { kind: 'absent', key } : { kind: 'version', key, version: observed.version }
  const outcome = await table.transact({ id: newTransactionId(random), checks: [check], puts: [{ key, value: row }], deletes: [] })
  if (outcome.err) return outcome
  if (outcome.val.kind === 'conflict') return Ok(null)
  return Ok({ cell, epoch, check: { kind: 'version', key, version: outcome.val.version } })
}

/** Releases a cell, so that the next owner need not wait until a lease expires. */
export const releaseCell = async (table: TableStore, random: Random, claimed: ClaimedCell): Promise<Result<void, AuburnpinError>> => {
  const row: CellRow = { cell: claimed.cell, epoch: claimed.epoch, owner: null, incarnation: null }
  const outcome = await table.transact({ id: newTransactionId(random), checks: [claimed.check], puts: [{ key: claimed.check.key, value: row }], deletes: [] })
  return outcome.map(() => undefined)
}
