/**
 * How long a task may wait for a place near its data or the other tasks of its step.
 */

/** What decides how long a step's tasks may go on waiting; all in milliseconds. */
export type WaitInputs = Readonly<{
  /** What running elsewhere adds to the duration of a task. */
  addedMs: number
  /** What remains until the objective of the job after its remaining steps. */
  slackMs: number
  /** For how long the step has had tasks that wait for the place while there was another one. */
  waitedMs: number
}>

/** Decides how long waiting for a place pays. */
export abstract class WaitPolicy {
  /** The longest expected wait that a task accepts from now on, in milliseconds; 0 to start elsewhere at once. */
  abstract longestWaitMs (inputs: WaitInputs): number
}

/**
 * Waits while the expected wait is shorter than what running elsewhere adds, and within the slack. A task whose wait
 * has lasted that long already starts elsewhere whatever is still expected, so that wrong estimates of durations cost a
 * task at most as much as running elsewhere would. Designed for loads in which most tasks of a queue need the same rack,
 * clients' estimates are off by half to nine tenths, and running elsewhere takes 1.5 to 3 times as long.
 */
export class PayingWait extends WaitPolicy {
  longestWaitMs (inputs: WaitInputs): number {
    return waitForPlace(inputs)
  }
}

/**
 * The longest expected wait that pays, in milliseconds; 0 if none does.
 *
 * @example
 * waitForPlace({ addedMs: 850, slackMs: 2_000, waitedMs: 100 }) // 850
 * waitForPlace({ addedMs: 850, slackMs: 300, waitedMs: 100 }) // 300
 * waitForPlace({ addedMs: 850, slackMs: 2_000, waitedMs: 850 }) // 0
 */
export const waitForPlace = ({ addedMs, slackMs, waitedMs }: WaitInputs): number =>
  waitedMs >= addedMs ? 0 : Math.max(0, Math.min(addedMs, slackMs))

/** Why tasks start elsewhere although they have a preferred place. */
export type AwayReason = 'rack-unavailable' | 'no-slack' | 'waited-long-enough' | 'wait-too-long'

/**
 * The reason why no wait pays, for logs. `workers`: those of the place that accept work.
 *
 * @example
 * awayReason({ addedMs: 850, slackMs: -20, waitedMs: 0 }, 12) // 'no-slack'
 */
export const awayReason = ({ addedMs, slackMs, waitedMs }: WaitInputs, workers: number): AwayReason => {
  if (workers === 0) return 'rack-unavailable'
  if (slackMs <= 0) return 'no-slack'
  return waitedMs >= addedMs ? 'waited-long-enough' : 'wait-too-long'
}
