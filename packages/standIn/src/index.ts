/**
 * Stand-ins for the platform, its workers and their endpoints, with faults that can be injected.
 */
export { JsonServer, type StandInResponse, type StandInHandler, type StandInRequest } from './JsonServer.ts'
export { MemoryTable, type MemoryOutcome, type MemoryRow, type MemoryTransaction, type MemoryWrite } from './MemoryTable.ts'
export { StoreFaults, type CallOutcome, type StoreFault } from './StoreFaults.ts'
export { StandInPlatform, type StandInVm } from './StandInPlatform.ts'
export { StandInEndpoint, type EndpointFault, type HandledRequest } from './StandInEndpoint.ts'
export { StandInControl, type VmState } from './StandInControl.ts'
export { reportEntry, type ReportedEntry } from './reportEntry.ts'
export { StandInWorker } from './StandInWorker.ts'
export { StandInRegion, type StandInLayout } from './StandInRegion.ts'
export {
  WorkerState, type WorkerAttempt, type WorkerEntry, type WorkerEvent, type WorkerLeaseRequest, type WorkerRefusal, type WorkerResources, type WorkerStart
} from './WorkerState.ts'
