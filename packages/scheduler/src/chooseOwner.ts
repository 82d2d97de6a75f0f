/**
 * Which live member should own a cell.
 */
import { rendezvousRank, type CellId, type DataCentre, type MemberId } from '@auburnpin/common'
import type { MemberRow } from '@auburnpin/cluster'

/** The preferred owner: a scheduler of the cell's data centre if there is one, by rendezvous hashing. */
export const chooseOwner = (cell: CellId, dataCentre: DataCentre, members: readonly MemberRow[]): MemberId | undefined => {
  const able = members.filter(row => row.roles.includes('scheduler') && !row.isLeaving)
  const near = able.filter(row => row.dataCentre === dataCentre)
  const candidates = near.length > 0 ? near : able
  return rendezvousRank(cell, candidates.map(row => row.member))[0]
}
