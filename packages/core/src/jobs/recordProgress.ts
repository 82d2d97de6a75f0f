/**
 * What a report shows of a run.
 */
import type { Instant } from '@auburnpin/common'
import type { RunRecord } from './TaskRecord.ts'
import type { ReportedRun } from './types.ts'

/**
 * Records what a report, at this time of the worker's clock, shows of a run.
 *
 * @example
 * recordProgress(run, reported, report.clockMs, now)
 */
export const recordProgress = (run: RunRecord, { reading, progressPercent }: ReportedRun, clockMs: number, now: Instant): void => {
  run.isReported = true
  run.isFromLostIncarnation = false
  run.reading = reading
  if (run.progressPercent !== progressPercent || run.progressedAt === undefined) run.progressedAt = now
  run.progressPercent = progressPercent
  run.lastProgress = { percent: progressPercent, clockMs }
  run.firstProgress ??= run.lastProgress
}
