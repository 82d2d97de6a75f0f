/**
 * Moves and balance of cell ownership: plain rendezvous hashing compared with assignment with a threshold.
 * Run: node --import tsx bench/cellBalance.ts
 */
import { brand, rendezvousRank, SeededRandom, type CellId, type ConfigVersion, type DataCentre, type MemberId } from '@auburnpin/common'
import type { MemberRow } from '@auburnpin/cluster'
import { assignCells, type CellPlace } from '@auburnpin/scheduler'

type Assignment = ReadonlyMap<CellId, MemberId>
type AssignCells = (places: readonly CellPlace[], members: readonly MemberRow[]) => Assignment
type Layout = Readonly<{ dataCentres: number, cellsEach: number, membersEach: number }>

const STEPS = 2_000
const LAYOUTS: readonly Layout[] = [
  { dataCentres: 3, cellsEach: 1, membersEach: 3 },
  { dataCentres: 3, cellsEach: 4, membersEach: 3 },
  { dataCentres: 3, cellsEach: 12, membersEach: 6 }
]

const rendezvous: AssignCells = (places, members) => {
  const assignment = new Map<CellId, MemberId>()
  for (const { cell, dataCentre } of places) {
    const near = members.filter(row => row.dataCentre === dataCentre)
    const [best] = rendezvousRank(cell, (near.length > 0 ? near : members).map(row => row.member))
    if (best !== undefined) assignment.set(cell, best)
  }
  return assignment
}

const toRow = (dataCentre: number, index: number): MemberRow => ({
  member: brand<MemberId>(`dc${dataCentre}.${index}`),
  dataCentre: brand<DataCentre>(`dc${dataCentre}`),
  roles: ['scheduler'],
  peerAddress: '',
  incarnation: '',
  renewals: 0,
  configVersion: brand<ConfigVersion>(0),
  isLeaving: false
})

/** Removes and restores members at random, one at a time, and prints moves and balance per change. */
const run = (layout: Layout, assign: AssignCells): void => {
  const random = new SeededRandom(17)
  const range = (count: number): number[] => Array.from({ length: count }, (_, index) => index)
  const all = range(layout.dataCentres).flatMap(dataCentre => range(layout.membersEach).map(index => toRow(dataCentre, index)))
  const cells = range(layout.dataCentres).flatMap(dataCentre => range(layout.cellsEach).map(index => ({
    cell: brand<CellId>(`dc${dataCentre}-${index}`), dataCentre: brand<DataCentre>(`dc${dataCentre}`)
  })))
  const offline = new Set<MemberRow>()
  let owners: Assignment = new Map()
  let moves = 0
  let orphanMoves = 0
  let imbalanceSum = 0
  for (let step = 0; step < STEPS; step++) {
    const changed = all[random.below(all.length)] as MemberRow
    if (!offline.delete(changed) && offline.size < all.length / 2) offline.add(changed)
    const live = all.filter(row => !offline.has(row))
    const liveMembers = new Set(live.map(row => row.member))
    const places = cells.map(place => ({ ...place, owner: ownerIn(owners, place.cell, liveMembers) }))
    const next = assign(places, live)
    for (const place of places) {
      if (place.owner === null) orphanMoves++
      if (owners.get(place.cell) !== next.get(place.cell)) moves++
    }
    owners = next
    imbalanceSum += mostLoaded(owners) / Math.ceil(cells.length / live.length)
  }
  const perStep = (count: number): string => (count / STEPS).toFixed(2)
  console.log(`${JSON.stringify(layout)} ${assign.name}: ${perStep(moves)} moves a change (${perStep(orphanMoves)} of orphans), most loaded / even share ${perStep(imbalanceSum)}`)
}

const ownerIn = (owners: Assignment, cell: CellId, liveMembers: ReadonlySet<MemberId>): MemberId | null => {
  const owner = owners.get(cell)
  return owner !== undefined && liveMembers.has(owner) ? owner : null
}

const mostLoaded = (owners: Assignment): number => {
  const loads = new Map<MemberId, number>()
  for (const owner of owners.values()) loads.set(owner, (loads.get(owner) ?? 0) + 1)
  return Math.max(...loads.values())
}

for (const layout of LAYOUTS) {
  run(layout, rendezvous)
  run(layout, assignCells)
}
