/**
 * Assignment of cells to live members.
 */
import { rendezvousRank, type CellId, type DataCentre, type MemberId } from '@auburnpin/common'
import type { MemberRow } from '@auburnpin/cluster'
import { REBALANCE_THRESHOLD } from './constants.ts'

/** A cell, its data centre, and the live member that owns it, if any. */
export type CellPlace = Readonly<{ cell: CellId, dataCentre: DataCentre, owner: MemberId | null }>

type Assignment = Map<CellId, MemberId>

/**
 * Assigns every cell to a scheduler. The result is deterministic, so all processes with the same view agree.
 * A cell keeps its owner unless the owner is no longer eligible, the owner is in another data centre although
 * the cell's own has a scheduler, or one member of a data centre owns `REBALANCE_THRESHOLD` cells more than
 * another. Cells without an owner go to the member with the fewest cells; rendezvous hashing breaks ties.
 *
 * @example
 * const owners = assignCells(places, membership.live)
 */
export const assignCells = (places: readonly CellPlace[], members: readonly MemberRow[]): ReadonlyMap<CellId, MemberId> => {
  const eligible = members.filter(row => row.roles.includes('scheduler') && !row.isLeaving)
  const assignment: Assignment = new Map()
  if (eligible.length === 0) return assignment
  const loads = new Map<MemberId, number>(eligible.map(row => [row.member, 0]))
  for (const place of places) {
    if (place.owner !== null && candidatesOf(place, eligible).includes(place.owner)) assign(assignment, loads, place.cell, place.owner)
  }
  for (const place of places) {
    if (!assignment.has(place.cell)) assign(assignment, loads, place.cell, leastLoaded(place, eligible, loads))
  }
  for (const dataCentre of new Set(places.map(place => place.dataCentre))) {
    rebalance(places.filter(place => place.dataCentre === dataCentre), eligible, assignment, loads)
  }
  return assignment
}

const candidatesOf = (place: CellPlace, eligible: readonly MemberRow[]): MemberId[] => {
  const local = eligible.filter(row => row.dataCentre === place.dataCentre)
  return (local.length > 0 ? local : eligible).map(row => row.member)
}

const assign = (assignment: Assignment, loads: Map<MemberId, number>, cell: CellId, owner: MemberId): void => {
  const previous = assignment.get(cell)
  if (previous !== undefined) loads.set(previous, loadOf(loads, previous) - 1)
  assignment.set(cell, owner)
  loads.set(owner, loadOf(loads, owner) + 1)
}

const loadOf = (loads: ReadonlyMap<MemberId, number>, member: MemberId): number => loads.get(member) ?? 0

const leastLoaded = (place: CellPlace, eligible: readonly MemberRow[], loads: ReadonlyMap<MemberId, number>): MemberId => {
  const ranked = rendezvousRank(place.cell, candidatesOf(place, eligible))
  return ranked.reduce((best, member) => loadOf(loads, member) < loadOf(loads, best) ? member : best)
}

/** Moves cells one by one from the most to the least loaded candidate until the difference is below the threshold. */
const rebalance = (places: readonly CellPlace[], eligible: readonly MemberRow[], assignment: Assignment, loads: Map<MemberId, number>): void => {
  const [first] = places
  if (first === undefined) return
  const candidates = candidatesOf(first, eligible).sort()
  for (;;) {
    const loaded = places.map(place => assignment.get(place.cell) as MemberId)
    const most = loaded.reduce((best, member) => loadOf(loads, member) > loadOf(loads, best) ? member : best)
    const least = candidates.reduce((best, member) => loadOf(loads, member) < loadOf(loads, best) ? member : best)
    if (loadOf(loads, most) - loadOf(loads, least) < REBALANCE_THRESHOLD) return
    const moved = places.find(place => assignment.get(place.cell) === most) as CellPlace
    assign(assignment, loads, moved.cell, least)
  }
}
