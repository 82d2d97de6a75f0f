/**
 * Detection of runs that make no progress.
 */
import type { Instant } from '@auburnpin/common'
import { MAX_MOVES, STALL_MS } from './constants.ts'
import { FULL_PACE, type RunRecord } from './TaskRecord.ts'

/**
 * Whether a run makes no progress. Detects workers that respond normally while their tasks are stuck. A filler may
 * also make no progress because other tasks use all processors or because it was slowed down, so a filler counts only
 * if it runs at full pace and uses processors.
 *
 * @example
 * if (isStalled(run, now)) run.isStopRequested = true
 */
export const isStalled = (run: RunRecord, now: Instant): boolean => {
  const { shape } = run.task.step
  if (shape.isLasting || shape.isGang || run.isStopRequested || run.state !== 'running' || run.task.moves >= MAX_MOVES) return false
  if (shape.isFiller && (run.pacePercent < FULL_PACE || run.orderedPacePercent !== FULL_PACE || (run.reading ?? 0) === 0)) return false
  return run.progressedAt !== undefined && now - run.progressedAt >= STALL_MS
}
