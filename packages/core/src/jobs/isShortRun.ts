/**
 * Runs that end soon after their start.
 */
import type { Instant } from '@auburnpin/common'
import { SHORT_RUN_MS } from './constants.ts'
import type { RunRecord } from './TaskRecord.ts'

/**
 * Whether a run was ordered a short time ago; `false` if it is unknown, as how long a run lasted is known only if this
 * owner knew it.
 *
 * @example
 * if (isShortRun(run, now)) task.recordEnd(end, true)
 */
export const isShortRun = (run: RunRecord | undefined, now: Instant): boolean => run !== undefined && now - run.orderedAt < SHORT_RUN_MS
