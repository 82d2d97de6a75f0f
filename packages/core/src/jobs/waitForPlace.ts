/**
 * How long a task may wait for a place near its data or the other tasks of its step.
 */

/** What decides how long a step's tasks may go on waiting; times in milliseconds. */
export type WaitInputs = Readonly<{
  /** What running elsewhere adds to the duration of a task. */
  addedMs: number
  /** What remains until the objective of the job after its remaining steps. */
  slackMs: number
  /** For how long the step has had tasks that wait for the place while there was another one. */
  waitedMs: number
  /** Demand for the rack with the data as a share of its processors; absent if the step may use any rack. */
  demand?: number
  /** Share of the processors of all workers that is free. */
  freeShare: number
}>

/**
 * Largest share of the time added elsewhere that a task waits for its data while the job can be in time elsewhere too. The
 * forecast is off by as much: with the whole, jobs end later on average than without waits (design 094).
 */
const PAYING_SHARE = 0.5

/** Share of free processors below which running elsewhere, which takes more processor time, delays other tasks. */
const LOADED_FREE_SHARE = 0.25

/** A step that has waited this many times what running elsewhere adds starts elsewhere: its forecasts have proved wrong. */
const MAX_ADDED_TIMES = 3

/** Decides how long waiting for a place pays. */
export abstract class WaitPolicy {
  /** The longest expected wait that a task accepts from now on, in milliseconds; 0 to start elsewhere at once. */
  abstract longestWaitMs (inputs: WaitInputs): number
}

/** Waits by `waitForPlace`. */
export class PayingWait extends WaitPolicy {
  longestWaitMs (inputs: WaitInputs): number {
    return waitForPlace(inputs)
  }
}

/**
 * The longest expected wait that pays, in milliseconds; 0 if none does. It is at most the slack. Designed for loads in
 * which most tasks of a queue need the same rack, clients' estimates are off by half to nine tenths, and running elsewhere
 * takes 1.5 to 3 times as long; design 094 compares the rules with others:
 *
 * - A wait for data is at most what running elsewhere adds. While there are many free processors and the job can be in time
 *   elsewhere too, it is at most half of that, and less the more the rack is in demand: in a rack in full demand, each place
 *   that a task waits for is one that another task would take without a wait, so waiting gains nothing in all.
 * - A step whose tasks share a rack, whichever it is, waits as long while there are many free processors. While there are
 *   few it waits for as long as its slack allows, as its tasks would take from others the time that they lose.
 *
 * @example
 * waitForPlace({ addedMs: 800, slackMs: 2_000, waitedMs: 100, demand: 0.7, freeShare: 0.5 }) // 240
 * waitForPlace({ addedMs: 800, slackMs: 300, waitedMs: 100, demand: 0.7, freeShare: 0.5 }) // 300
 * waitForPlace({ addedMs: 800, slackMs: 2_000, waitedMs: 100, demand: 0.7, freeShare: 0.1 }) // 800
 */
export const waitForPlace = ({ addedMs, slackMs, waitedMs, demand, freeShare }: WaitInputs): number => {
  if (waitedMs >= addedMs * MAX_ADDED_TIMES) return 0
  const payingMs = freeShare < LOADED_FREE_SHARE
    ? demand === undefined ? slackMs : addedMs
    : demand === undefined || slackMs <= addedMs ? addedMs : addedMs * Math.min(PAYING_SHARE, Math.max(0, 1 - demand))
  return Math.max(0, Math.min(payingMs, slackMs))
}

/** Why tasks start elsewhere although they have a preferred place. */
export type AwayReason = 'rack-unavailable' | 'no-slack' | 'rack-in-full-demand' | 'waited-long-enough' | 'wait-too-long'

/**
 * The reason why no wait pays, for logs. `workers`: those of the place that accept work.
 *
 * @example
 * awayReason({ addedMs: 850, slackMs: -20, waitedMs: 0, freeShare: 0.5 }, 12) // 'no-slack'
 */
export const awayReason = (inputs: WaitInputs, workers: number): AwayReason => {
  const { addedMs, slackMs, waitedMs, demand = 0 } = inputs
  if (workers === 0) return 'rack-unavailable'
  if (slackMs <= 0) return 'no-slack'
  if (waitedMs >= addedMs * MAX_ADDED_TIMES) return 'waited-long-enough'
  return demand >= 1 && waitForPlace(inputs) === 0 ? 'rack-in-full-demand' : 'wait-too-long'
}
