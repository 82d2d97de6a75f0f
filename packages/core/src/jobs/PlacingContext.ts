/**
 * State that decides in which order tasks are placed and where.
 */
import type { Instant } from '@auburnpin/common'
import type { DelayScheduling } from './DelayScheduling.ts'
import type { FillerInterference } from './FillerInterference.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import type { SizeFairness } from './SizeFairness.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WaitingSteps } from './WaitingSteps.ts'

/** `wallTime` is in milliseconds since 1970. */
export type PlacingContext = Readonly<{
  interference: FillerInterference
  /** Empty at the start of a scheduling pass; the pass fills it. */
  held: HeldWorkers
  fairness: SizeFairness
  /** Tasks under which several workers were lost; most of them don't wait. */
  tasksOnTrial: Iterable<TaskRecord>
  waits: WaitingSteps
  delays: DelayScheduling
  now: Instant
  wallTime: number
}>
