/**
 * The platform's services as the program sees them, and their clients over HTTP.
 */
export type * from './types.ts'
export * from './constants.ts'
export { TableStore } from './TableStore.ts'
export { ObjectStore } from './ObjectStore.ts'
export { VmList } from './VmList.ts'
export { Worker, Workers, type AttemptAddress } from './Worker.ts'
export { HttpClient, splitAddress, type HttpAnswer, type HttpCall } from './HttpClient.ts'
export { HttpTableStore } from './HttpTableStore.ts'
export { newTransactionId } from './newTransactionId.ts'
export { ReliableTable } from './ReliableTable.ts'
export { HttpObjectStore } from './HttpObjectStore.ts'
export { HttpVmList } from './HttpVmList.ts'
export { HttpWorker, HttpWorkers } from './HttpWorker.ts'
