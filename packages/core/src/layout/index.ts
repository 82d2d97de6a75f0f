/** Division of the workers into cells, and the choice of a job's cell. */
export type * from './types.ts'
export { assignRacks, EMPTY_LAYOUT, NO_WORKERS, rackKey } from './assignRacks.ts'
export { chooseLeavingRacks, moveRack, type RackLoad } from './moveRack.ts'
export { canRun, canRunStep, chooseCell, type CellLoad } from './chooseCell.ts'
export { covers, offerOf } from './offers.ts'
export { addedLoad, chooseTransfer } from './chooseTransfer.ts'
