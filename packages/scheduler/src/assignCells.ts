/**
 * Which live member should own which cell.
 */
import { rendezvousRank, type CellId, type DataCentre, type MemberId } from '@auburnpin/common'
import type { MemberRow } from '@auburnpin/cluster'
import { REBALANCE_THRESHOLD } from './constants.ts'

/** A cell, where it is, and the live member that owns it, if any. */
export type CellPlace = Readonly<{ cell: CellId, dataCentre: DataCentre, owner: MemberId | null }>

type Assignment = Map<CellId, MemberId>

/**
 * Assigns every cell, alike in every process that sees the same. A cell stays where it is unless its
 * owner can't go on, a scheduler of the cell's own data centre is there and the owner is none, or one
 * member of a data centre owns `REBALANCE_THRESHOLD` cells more than another. Cells without an owner go
 * to the member with the fewest, equals in the order of rendezvous hashing.
 *
 * @example
 * const owners = assignCells(places, membership.live)
 */
export const assignCells = (places: readonly CellPlace[], members: readonly MemberRow[]): ReadonlyMap<CellId, MemberId> => {
  const able = members.filter(row => row.roles.includes('scheduler') && !row.isLeaving)
  const assignment: Assignment = new Map()
  if (able.length === 0) return assignment
  const loads = new Map<MemberId, number>(able.map(row => [row.member, 0]))
  for (const place of places) {
    if (place.owner !== null && candidatesOf(place, able).includes(place.owner)) assign(assignment, loads, place.cell, place.owner)
  }
  for (const place of places) {
    if (!assignment.has(place.cell)) assign(assignment, loads, place.cell, leastLoaded(place, able, loads))
  }
  for (const dataCentre of new Set(places.map(place => place.dataCentre))) {
    levelOut(places.filter(place => place.dataCentre === dataCentre), able, assignment, loads)
  }
  return assignment
}

const candidatesOf = (place: CellPlace, able: readonly MemberRow[]): MemberId[] => {
  const near = able.filter(row => row.dataCentre === place.dataCentre)
  return (near.length > 0 ? near : able).map(row => row.member)
}

const assign = (assignment: Assignment, loads: Map<MemberId, number>, cell: CellId, owner: MemberId): void => {
  const before = assignment.get(cell)
  if (before !== undefined) loads.set(before, loadOf(loads, before) - 1)
  assignment.set(cell, owner)
  loads.set(owner, loadOf(loads, owner) + 1)
}

const loadOf = (loads: ReadonlyMap<MemberId, number>, member: MemberId): number => loads.get(member) ?? 0

const leastLoaded = (place: CellPlace, able: readonly MemberRow[], loads: ReadonlyMap<MemberId, number>): MemberId => {
  const ranked = rendezvousRank(place.cell, candidatesOf(place, able))
  return ranked.reduce((best, member) => loadOf(loads, member) < loadOf(loads, best) ? member : best)
}

/** Moves one cell at a time from the most to the least loaded candidate until they differ by less than the threshold. */
const levelOut = (places: readonly CellPlace[], able: readonly MemberRow[], assignment: Assignment, loads: Map<MemberId, number>): void => {
  const [first] = places
  if (first === undefined) return
  const candidates = candidatesOf(first, able).sort()
  for (;;) {
    const loaded = places.map(place => assignment.get(place.cell) as MemberId)
    const most = loaded.reduce((best, member) => loadOf(loads, member) > loadOf(loads, best) ? member : best)
    const least = candidates.reduce((best, member) => loadOf(loads, member) < loadOf(loads, best) ? member : best)
    if (loadOf(loads, most) - loadOf(loads, least) < REBALANCE_THRESHOLD) return
    const moved = places.find(place => assignment.get(place.cell) === most) as CellPlace
    assign(assignment, loads, moved.cell, least)
  }
}
