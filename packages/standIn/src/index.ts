/**
 * Small stand-ins for the platform, its workers and their endpoints, with faults to switch on.
 */
export { JsonServer, type StandInAnswer, type StandInHandler, type StandInRequest } from './JsonServer.ts'
export { MemoryTable, type MemoryOutcome, type MemoryRow, type MemoryTransaction, type MemoryWrite } from './MemoryTable.ts'
export { StoreFaults, type CallFate, type StoreFault } from './StoreFaults.ts'
export { StandInPlatform, type StandInVm } from './StandInPlatform.ts'
export { StandInEndpoint, type EndpointFault, type EndpointRun } from './StandInEndpoint.ts'
export { StandInControl, type VmFault } from './StandInControl.ts'
export { reportEntry, type ReportedEntry } from './reportEntry.ts'
export { StandInWorker } from './StandInWorker.ts'
export { StandInRegion, type StandInLayout } from './StandInRegion.ts'
export {
  WorkerState, type WorkerAttempt, type WorkerEntry, type WorkerEvent, type WorkerLeaseCall, type WorkerRefusal, type WorkerRoom, type WorkerStart
} from './WorkerState.ts'
