/**
 * Public interface of the scheduler role, which owns cells and runs them.
 */
export * from './constants.ts'
export { Scheduler, type RegionLayout, type SchedulerPorts } from './Scheduler.ts'
export { CellRunner, type CellPorts, type Occupancy } from './CellRunner.ts'
export { JournalWriter, type JournalOptions } from './JournalWriter.ts'
export { SnapshotWriter, type SnapshotPorts } from './SnapshotWriter.ts'
export { readSnapshotPointer, type SnapshotPointer, type SnapshotReference, type VersionedSnapshotPointer } from './snapshotPointer.ts'
export { digestOf, recoverCell, type RecoveredJournal } from './recoverCell.ts'
export { OrphanLeaseRenewer, type OrphanLeasePorts, type RackedVm } from './OrphanLeaseRenewer.ts'
export { WorkerLink } from './WorkerLink.ts'
export { ActionRunner } from './ActionRunner.ts'
export { cellOfVm, cellsOfRegion } from './cellOfVm.ts'
export { assignCells, type CellPlace } from './assignCells.ts'
export { CellOwnership, type OwnershipPorts } from './CellOwnership.ts'
