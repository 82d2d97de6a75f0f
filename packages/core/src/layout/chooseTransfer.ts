/**
 * Choice of another cell for a job that waits.
 */
import type { Job } from '../jobs/types.ts'
import { canRun, type CellLoad } from './chooseCell.ts'
import type { CellWorkers } from './types.ts'

/** A cell takes jobs of another one if its load is lower by this many percentage points; loads are seconds old. */
const MIN_LOAD_DIFFERENCE = 8

/**
 * Returns the cell with the lowest load that can run a job which waits in the cell `from`; `undefined` if none is clearly
 * less loaded. Jobs choose their cells by chance, and large ones make the difference: in one of two cells long-running
 * jobs wait for workers while the other has some free.
 *
 * @example
 * const to = chooseTransfer(job, 0, layout.cells, loads) // 1
 */
export const chooseTransfer = (job: Job, from: number, cells: readonly CellWorkers[], loads: readonly CellLoad[]): number | undefined => {
  let best: number | undefined
  let lowest = (loads[from]?.loadPercent ?? 0) - MIN_LOAD_DIFFERENCE
  for (const [index, load] of loads.entries()) {
    if (index === from || !load.isOwned || load.isEvacuated === true || load.loadPercent > lowest || !canRun(job, cells[index])) continue
    best = index
    lowest = load.loadPercent
  }
  return best
}

/**
 * Load that a job adds to a cell, in percentage points.
 *
 * @example
 * addedLoad(job, 3_000_000) // 4
 */
export const addedLoad = ({ steps }: Job, processors: number): number =>
  processors === 0 ? 0 : 100 * Math.max(0, ...steps.map(step => step.taskCount * step.processors)) / processors
