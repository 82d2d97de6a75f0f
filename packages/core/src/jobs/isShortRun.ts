/**
 * Whether a run has ended soon after its order.
 */
import type { Instant } from '@auburnpin/common'
import { SHORT_RUN_MS } from './constants.ts'
import type { RunRecord } from './TaskRecord.ts'

/**
 * Whether a run was ordered less than `SHORT_RUN_MS` ago. How long a run lasted is known only if this owner knew it.
 *
 * @example
 * if (isShortRun(run, now)) task.hasFailedAtOnce = true
 */
export const isShortRun = (run: RunRecord | undefined, now: Instant): boolean => run !== undefined && now - run.orderedAt < SHORT_RUN_MS
