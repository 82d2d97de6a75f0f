/**
 * Whether a run has ended at once.
 */
import type { Instant } from '@auburnpin/common'
import { SHORT_RUN_MS } from './constants.ts'
import type { RunRecord } from './TaskRecord.ts'

/**
 * Whether a run that ends at `now` was ordered a short time ago; `false` for a run whose order this owner doesn't know.
 *
 * @example
 * isShortRun(run, now) // true
 */
export const isShortRun = (run: RunRecord | undefined, now: Instant): boolean => run !== undefined && now - run.orderedAt < SHORT_RUN_MS
