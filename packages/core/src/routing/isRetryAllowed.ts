/**
 * Whether a failed request is sent again.
 */
import { MAX_TRIES } from './constants.ts'
import type { RetryBudget } from './RetryBudget.ts'

/** A failed try of a request. */
export type FailedTry = Readonly<{
  /** Number of tries, this one included. */
  tries: number
  /** Whether the request was certainly not executed by any endpoint. */
  isNotRun: boolean
  /** Whether the endpoint itself refused the request. */
  isRefused: boolean
  isIdempotent: boolean
  /** Whether the whole body sent so far is buffered and can be sent again. */
  isReplayable: boolean
  /** Whether a part of the response has been sent to the caller. */
  isBegun: boolean
}>

/**
 * Allows a retry only of a request that is idempotent or was certainly not executed.
 *
 * A refusal costs the endpoint nothing, so a retry after it takes no budget; only the number of tries limits it.
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
