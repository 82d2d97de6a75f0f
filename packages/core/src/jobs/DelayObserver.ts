/**
 * Decisions to wait for a place that are logged and counted.
 */
import type { StepRecord } from './StepRecord.ts'
import type { AwayReason, WaitInputs } from './waitForPlace.ts'

/** A decision on the tasks of a step that don't fit into the rack that they prefer, with its inputs; all in milliseconds. */
export type DelayDecision = WaitInputs & Readonly<{
  step: StepRecord
  /** Label of the rack with the data, or key of the rack that the step's tasks share; the keys of those that were considered if none is chosen. */
  rack: string
  /** Workers of the rack that accept work. */
  workers: number
  /** Tasks of the step that go on waiting for the rack, and that start elsewhere. */
  delayed: number
  away: number
  /** The longest expected wait that pays, and the expected wait of the last task that goes on waiting. */
  longestWaitMs: number
  expectedWaitMs: number
}>

/** Receives the decisions that are logged and counted. */
export abstract class DelayObserver {
  /** Tasks of a step begin to wait for a rack although they could start elsewhere. */
  abstract delayed (decision: DelayDecision): void
  /** The first tasks of a step start elsewhere, as no wait pays. */
  abstract startedAway (decision: DelayDecision, reason: AwayReason): void
  /** No task of a step waits for a rack any more. */
  abstract delayEnded (step: StepRecord, waitedMs: number): void
}
