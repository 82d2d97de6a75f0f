/**
 * State that decides in which order tasks are placed and where.
 */
import type { Instant } from '@auburnpin/common'
import type { CopyInterval } from './CopyInterval.ts'
import type { DelayScheduling } from './DelayScheduling.ts'
import type { FillerInterference } from './FillerInterference.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import type { LearntDurations } from './LearntDurations.ts'
import type { SizeFairness } from './SizeFairness.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WaitingSteps } from './WaitingSteps.ts'
import type { WorkerReserve } from './WorkerReserve.ts'

/** `wallTime` is in milliseconds since 1970. */
export type PlacingContext = Readonly<{
  interference: FillerInterference
  /** Empty at the start of a scheduling pass; the pass fills it. */
  held: HeldWorkers
  fairness: SizeFairness
  /** Tasks under which several workers were lost; most of them don't wait. */
  tasksOnTrial: Iterable<TaskRecord>
  waits: WaitingSteps
  reserve: WorkerReserve
  durations: LearntDurations
  copyInterval: CopyInterval
  delays: DelayScheduling
  now: Instant
  wallTime: number
}>

/** What an installation sets for placement; by default tasks don't wait for a rack and a constant share of the workers is reserved. */
export type PlacingSettings = Readonly<{
  delays?: DelayScheduling | undefined
  /** Largest share of the processors of a service that is reserved for short tasks. */
  maxReservedShare?: number | undefined
}>
