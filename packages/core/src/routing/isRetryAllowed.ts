/**
 * Whether a failed request is sent again.
 */
import { MAX_TRIES } from './constants.ts'
import type { RetryBudget } from './RetryBudget.ts'

/** What is known of a try that failed. */
export type FailedTry = Readonly<{
  /** Tries so far, this one included. */
  tries: number
  /** Whether it is certain that no endpoint ran the request. */
  isNotRun: boolean
  /** Whether the endpoint itself refused it. */
  isRefused: boolean
  isIdempotent: boolean
  /** Whether the whole body so far can be sent again. */
  isReplayable: boolean
  /** Whether the caller has been sent a part of the answer. */
  isBegun: boolean
}>

/**
 * Only what surely was not run, or may be run twice, is sent again.
 *
 * A refusal costs the endpoint nothing, so it spends no budget; the number of tries bounds it.
 *
 * @example
 * if (isRetryAllowed(failedTry, budget)) continue
 */
export const isRetryAllowed = (failed: FailedTry, budget: RetryBudget): boolean => {
  if (failed.isBegun || !failed.isReplayable) return false
  if (failed.tries >= MAX_TRIES) return false
  if (!failed.isNotRun && !failed.isIdempotent) return false
  return failed.isRefused || budget.spend()
}
