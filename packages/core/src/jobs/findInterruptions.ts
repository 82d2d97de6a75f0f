/**
 * Long-running tasks that wait for another run.
 */
import type { Instant } from '@auburnpin/common'
import type { Interruption } from './Interruption.ts'
import type { StepRecord } from './StepRecord.ts'

/**
 * The long-running tasks of the given steps that have been interrupted for at least `minMs`, the longest first. One whose
 * last run ended before this term counts from `termStartedAt`.
 *
 * @example
 * findInterruptions(openSteps, 1_000, termStartedAt, now)[0]?.interruptedMs // 3_140
 */
export const findInterruptions = (steps: Iterable<StepRecord>, minMs: number, termStartedAt: Instant, now: Instant): Interruption[] => {
  const interruptions: Interruption[] = []
  for (const { waiting } of steps) {
    for (const task of waiting) {
      const interruptedMs = now - (task.lastEnd?.at ?? termStartedAt)
      if (task.isInterrupted && interruptedMs >= minMs) interruptions.push({ task, interruptedMs })
    }
  }
  return interruptions.sort((one, other) => other.interruptedMs - one.interruptedMs)
}
