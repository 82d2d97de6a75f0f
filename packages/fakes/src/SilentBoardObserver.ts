/**
 * An observer that ignores every event.
 */
import { BoardObserver } from '@auburnpin/core'

/** For tests that check only the decisions of a job scheduler. */
export class SilentBoardObserver extends BoardObserver {
  runEnded (): void {}
  runStalled (): void {}
  phaseChanged (): void {}
  workerJudged (): void {}
}
