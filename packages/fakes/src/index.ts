/**
 * In-memory fakes of the program's interfaces, for tests on a virtual clock. They can delay, lose or refuse calls.
 */
export { FakeLink, IMMEDIATE, type CallDelivery, type DeliveryPolicy, type ProcessGate } from './FakeLink.ts'
export { FakeTableStore } from './FakeTableStore.ts'
export { PausableClock } from './PausableClock.ts'
export { FakeObjectStore } from './FakeObjectStore.ts'
export { FakeVmList } from './FakeVmList.ts'
export { FakeVmWorker, FakeWorkers, type FakeTaskBehaviour, type FakeBehaviourChooser } from './FakeWorkers.ts'
export { FakePeers, type FakePeerNetwork } from './FakePeers.ts'
export { FakeJobWorker, type FakeRunBehaviour, type WorkerEvent } from './FakeJobWorker.ts'
export { FakeCapacity, type FakeAmounts } from './FakeCapacity.ts'
export { findStartsOverCapacity } from './findStartsOverCapacity.ts'
export { FakeRows, type StoreFaultMode } from './FakeRows.ts'
export { jobOf, stepOf, workerEntryOf } from './jobBuilders.ts'
export { SilentJobSchedulerObserver } from './SilentJobSchedulerObserver.ts'
export { RunInvariantChecker } from './RunInvariantChecker.ts'
export { processLoopbackAddress } from './processLoopbackAddress.ts'
