/**
 * Whether a run gets nowhere.
 */
import type { Instant } from '@auburnpin/common'
import { MAX_MOVES, STALL_MS } from './constants.ts'
import { FULL_PACE, type RunRecord } from './TaskRecord.ts'

/**
 * Made for workers on which tasks stand still while they answer well. A filler may stand still because others
 * use all processors or because it is held, so only one that had its pace and used some counts.
 *
 * @example
 * if (isStalled(run, now)) run.isStopWanted = true
 */
export const isStalled = (run: RunRecord, now: Instant): boolean => {
  const { shape } = run.task.step
  if (shape.isLasting || shape.isGang || run.isStopWanted || run.state !== 'running' || run.task.moves >= MAX_MOVES) return false
  if (shape.isFiller && (run.pacePercent < FULL_PACE || run.paceOrdered !== FULL_PACE || (run.reading ?? 0) === 0)) return false
  return run.progressedAt !== undefined && now - run.progressedAt >= STALL_MS
}
