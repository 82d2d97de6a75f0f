/**
 * What is published of the load of a cell.
 */
import type { CellLoad } from '@auburnpin/core'

/**
 * The load of a cell of which `evacuatedWorkers` are in evacuated data centres; those don't count. A cell that has no
 * others is marked, as its low load would otherwise draw jobs to it.
 *
 * @example
 * cellLoad(250, 250, 0, true) // { workers: 0, loadPercent: 0, isOwned: true, isEvacuated: true }
 */
export const cellLoad = (workers: number, evacuatedWorkers: number, loadPercent: number, isOwned: boolean): CellLoad => {
  const load = { workers: Math.max(0, workers - evacuatedWorkers), loadPercent, isOwned }
  return evacuatedWorkers > 0 && load.workers === 0 ? { ...load, isEvacuated: true } : load
}
