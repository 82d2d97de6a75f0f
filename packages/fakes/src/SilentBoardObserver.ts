/**
 * An observer that tells nobody.
 */
import { BoardObserver } from '@auburnpin/core'

/** For boards whose decisions alone are looked at. */
export class SilentBoardObserver extends BoardObserver {
  runEnded (): void {}
  runStalled (): void {}
  phaseChanged (): void {}
  workerJudged (): void {}
}
