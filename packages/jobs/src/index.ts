/** Scheduling of jobs over the store and the workers: who owns it, what lasts, and the calls that carry it out. */
export * from './constants.ts'
export { CellSeat, type SeatIdentity } from './CellSeat.ts'
export { JobIntake } from './JobIntake.ts'
export { JobOwner, type OwnerPorts, type WonTerm } from './JobOwner.ts'
export { RowStore, type RowChange, type RowChanges, type RowKey, type RowOutcome, type RowPage, type RowRange, type StoredRow } from './RowStore.ts'
export { TableFollower, TableReader } from './TableFollower.ts'
export { WorkerCalls, type ReportCall, type RunName, type StartAnswer, type StartCall, type WorkerAddress } from './WorkerCalls.ts'
export { WorkerList, WorkerListener } from './WorkerList.ts'
