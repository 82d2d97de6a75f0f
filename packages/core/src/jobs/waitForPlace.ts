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
}>

/**
 * Largest share of the time added elsewhere that a task waits for its data while the job can be in time elsewhere too. The
 * forecast is off by as much: with the whole, jobs end later on average than without waits (design 094).
 */
const PAYING_SHARE = 0.5

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
 * The longest expected wait that pays, in milliseconds; 0 if none does. It is less than what running elsewhere adds, and
 * within the slack. A task that has waited that long starts elsewhere whatever is expected, so that wrong estimates of
 * durations cost it at most as much as running elsewhere.
 *
 * While a job can be in time elsewhere too, its tasks wait for their data only as far as the rack has capacity to spare:
 * in a rack that is in full demand, each place that a task waits for is one that another task would take without a wait,
 * so waiting gains nothing in all. Designed for loads in which most tasks of a queue need the same rack, clients' estimates
 * are off by half to nine tenths, and running elsewhere takes 1.5 to 3 times as long.
 *
 * @example
 * waitForPlace({ addedMs: 800, slackMs: 2_000, waitedMs: 100, demand: 0.7 }) // 240
 * waitForPlace({ addedMs: 800, slackMs: 300, waitedMs: 100, demand: 0.7 }) // 300
 * waitForPlace({ addedMs: 800, slackMs: 2_000, waitedMs: 800 }) // 0
 */
export const waitForPlace = ({ addedMs, slackMs, waitedMs, demand }: WaitInputs): number => {
  const isInTimeElsewhere = slackMs > addedMs
  const share = demand === undefined || !isInTimeElsewhere ? 1 : Math.min(PAYING_SHARE, Math.max(0, 1 - demand))
  const payingMs = addedMs * share
  return waitedMs >= payingMs ? 0 : Math.max(0, Math.min(payingMs, slackMs))
}

/** Why tasks start elsewhere although they have a preferred place. */
export type AwayReason = 'rack-unavailable' | 'no-slack' | 'rack-in-full-demand' | 'waited-long-enough' | 'wait-too-long'

/**
 * The reason why no wait pays, for logs. `workers`: those of the place that accept work.
 *
 * @example
 * awayReason({ addedMs: 850, slackMs: -20, waitedMs: 0 }, 12) // 'no-slack'
 */
export const awayReason = (inputs: WaitInputs, workers: number): AwayReason => {
  const { addedMs, slackMs, waitedMs, demand = 0 } = inputs
  if (workers === 0) return 'rack-unavailable'
  if (slackMs <= 0) return 'no-slack'
  if (demand >= 1 && slackMs > addedMs) return 'rack-in-full-demand'
  return waitedMs > 0 && waitForPlace(inputs) === 0 ? 'waited-long-enough' : 'wait-too-long'
}
