/**
 * Moves of racks from the first cell to others, as a deployment grows.
 */
import type { Layout } from './types.ts'

/** What the owner of the first cell knows of one of its racks. */
export type RackLoad = Readonly<{ rack: string, workers: number, runs: number, longRunningRuns: number }>

/** Most racks with running tasks that are emptied at the same time; each takes its free capacity out of use. */
const MAX_BUSY_LEAVING_RACKS = 2

/**
 * Chooses racks of the first cell that are to leave it if it has more than `workersPerCell` workers. Racks without
 * running tasks leave first. Others are emptied one after another, those with the fewest long-running tasks first, as
 * these do not end by themselves. `leaving` are the racks that are leaving already.
 *
 * @example
 * const leaving = chooseLeavingRacks(rackLoads, 380, 2, 250, new Set()) // Set { 'derby/r1-3' }
 */
export const chooseLeavingRacks = (racks: readonly RackLoad[], workers: number, cellCount: number, workersPerCell: number, leaving: ReadonlySet<string>): ReadonlySet<string> => {
  const chosen = new Set(leaving)
  const staying = racks.filter(({ rack }) => !leaving.has(rack))
  const size = staying.reduce((sum, rack) => sum + rack.workers, 0)
  if (size <= workersPerCell) return chosen
  let surplus = size - Math.ceil(workers / cellCount)
  let busy = racks.filter(({ rack, runs }) => leaving.has(rack) && runs > 0).length
  for (const { rack, workers: ofRack, runs } of staying.sort((one, other) => one.longRunningRuns - other.longRunningRuns || one.runs - other.runs || one.workers - other.workers)) {
    if (ofRack > surplus) break
    if (runs > 0 && ++busy > MAX_BUSY_LEAVING_RACKS) break
    chosen.add(rack)
    surplus -= ofRack
  }
  return chosen
}

/**
 * Moves a rack from the first cell to another. `epoch` is that of the first cell's term, whose owner must have no runs
 * and no leases on the rack's workers any more.
 *
 * @example
 * moveRack(layout, 'derby/r1-3', 1, epoch).cells[1]?.epochOffsets // { 'derby/r1-3': 7 }
 */
export const moveRack = (layout: Layout, rack: string, to: number, epoch: number): Layout => ({
  version: layout.version + 1,
  cells: layout.cells.map((cell, index) => {
    if (index === 0) return { ...cell, racks: cell.racks.filter(other => other !== rack) }
    if (index !== to) return cell
    return { ...cell, racks: [...cell.racks, rack], epochOffsets: { ...cell.epochOffsets, [rack]: epoch } }
  })
})
