/**
 * An observer that ignores every event.
 */
import { JobSchedulerObserver } from '@auburnpin/core'

/** For tests that check only the decisions of a job scheduler. */
export class SilentJobSchedulerObserver extends JobSchedulerObserver {
  runEnded (): void {}
  copyStarted (): void {}
  runStalled (): void {}
  phaseChanged (): void {}
  workerQuarantined (): void {}
  workerLost (): void {}
  workerReborn (): void {}
  runInherited (): void {}
  taskHeldBack (): void {}
  taskGivenUp (): void {}
}
