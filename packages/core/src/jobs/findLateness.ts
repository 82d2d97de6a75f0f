/**
 * Runs that fall far behind others of their queue and image.
 */
import type { Instant } from '@auburnpin/common'
import type { LearntDuration } from './LearntDurations.ts'
import { FULL_PACE, type RunRecord } from './TaskRecord.ts'

/** Why a run is expected to end late, and the figures that show it, in milliseconds. `silent`: its worker doesn't respond. */
export type Lateness = Readonly<{ run: RunRecord, reason: 'slow' | 'silent', remainingMs: number, totalMs: number, learnt: LearntDuration }>

/**
 * A new run must be expected to end in less than half the time that the late one still needs. It also has to start, may
 * be slow itself, and uses processors for nothing if the first run ends before it.
 */
const MIN_GAIN = 2

/** Share of the learnt duration for which a run must be observed; its progress has steps of 1 %, so that its speed is then known to 4 %. */
const MIN_OBSERVED_SHARE = 0.25

/**
 * Whether a run is expected to end much later than a new run would. It counts as slow if its progress shows that it takes
 * longer than nine tenths of its like. Designed for loads of which three runs in a hundred take seven times as long.
 *
 * @example
 * findLateness(run, { medianMs: 850, highMs: 910 }, now)?.remainingMs // 4_900
 */
export const findLateness = (run: RunRecord, learnt: LearntDuration, now: Instant): Lateness | undefined => {
  const { worker } = run
  if (run.state === 'ordered') return undefined
  if (worker.isUnresponsive) {
    // It may go on and end earlier, but that is known only if the worker responds again.
    const remainingMs = worker.leaseExpiresAt - now + learnt.medianMs
    return remainingMs > MIN_GAIN * learnt.medianMs ? { run, reason: 'silent', remainingMs, totalMs: now - run.orderedAt + remainingMs, learnt } : undefined
  }
  const totalMs = totalDurationMs(run, learnt)
  if (totalMs === undefined || totalMs <= learnt.highMs) return undefined
  const { percent } = run.lastProgress ?? { percent: 0 }
  const remainingMs = totalMs * (100 - percent) / 100 - (now - worker.reportedAt)
  return remainingMs > MIN_GAIN * learnt.medianMs ? { run, reason: 'slow', remainingMs, totalMs, learnt } : undefined
}

// The duration of the whole run at its speed so far; a lower limit, as the last step of the progress counts as done.
const totalDurationMs = (run: RunRecord, { medianMs }: LearntDuration): number | undefined => {
  const { firstProgress, lastProgress, state, isStopRequested, pacePercent, orderedPacePercent } = run
  if (state !== 'running' || isStopRequested || firstProgress === undefined || lastProgress === undefined) return undefined
  if (run.wasSlowedDown || pacePercent < FULL_PACE || orderedPacePercent !== FULL_PACE) return undefined
  const observedMs = lastProgress.clockMs - firstProgress.clockMs
  if (observedMs < medianMs * MIN_OBSERVED_SHARE) return undefined
  return 100 * observedMs / Math.max(1, lastProgress.percent - firstProgress.percent + 1)
}
