/**
 * In-memory fakes of the program's interfaces, for tests on a virtual clock. They can delay, lose or refuse calls.
 */
export { FakeLink, PROMPT, type Fate, type FateChooser, type ProcessGate } from './FakeLink.ts'
export { FakeTableStore } from './FakeTableStore.ts'
export { PausableClock } from './PausableClock.ts'
export { FakeObjectStore } from './FakeObjectStore.ts'
export { FakeVmList } from './FakeVmList.ts'
export { FakeVmWorker, FakeWorkers, type FakeCourse, type FakeCourses } from './FakeWorkers.ts'
export { FakePeers, type FakePeerNetwork } from './FakePeers.ts'
export { FakeJobWorker, type FakeRunCourse, type WorkerEvent } from './FakeJobWorker.ts'
export { FakeRows, type StoreMood } from './FakeRows.ts'
export { jobOf, stepOf, workerEntryOf } from './jobBuilders.ts'
export { SilentBoardObserver } from './SilentBoardObserver.ts'
export { RunWatch } from './RunWatch.ts'
export { ownLoopback } from './ownLoopback.ts'
