/**
 * How fast the fillers of one worker may work beside its serving tasks.
 */
import { brand, type Instant } from '@auburnpin/common'
import { PACE_DOWN_PERCENT, PACE_SETTLE_MS, PACE_UP_GAP_MS, PACE_UP_PERCENT, TAIL_HIGH, TAIL_LOW } from './constants.ts'
import type { RunRecord } from './TaskRecord.ts'

/** Percent of a task's pace without any limit. */
export const FULL_PACE = 100

/**
 * Slows fillers at once when a serving task's tail nears its target, and lets them up in steps. Made for
 * disturbances that change within seconds, with readings that cover the last half second.
 */
export class FillerPacing {
  #percent = FULL_PACE
  #changedAt = brand<Instant>(-Infinity)
  #tailShare = 0

  /** Share of its pace that each filler may work at, 0 to 100. */
  get percent (): number {
    return this.#percent
  }

  /** The worst tail among the serving tasks, as a share of its target. */
  get tailShare (): number {
    return this.#tailShare
  }

  /** Takes in the readings of a report. */
  observe (runs: Iterable<RunRecord>, now: Instant): void {
    let worst = 0
    for (const { task: { step: { shape } }, reading } of runs) {
      if (shape.latencyTargetMs > 0 && reading !== undefined) worst = Math.max(worst, reading / shape.latencyTargetMs)
    }
    this.#tailShare = worst
    if (worst > TAIL_HIGH && now - this.#changedAt >= PACE_SETTLE_MS) this.#change(Math.max(0, this.#percent - PACE_DOWN_PERCENT), now)
    else if (worst < TAIL_LOW && now - this.#changedAt >= PACE_UP_GAP_MS) this.#change(Math.min(FULL_PACE, this.#percent + PACE_UP_PERCENT), now)
  }

  #change (percent: number, now: Instant): void {
    if (percent === this.#percent) return
    this.#percent = percent
    this.#changedAt = now
  }
}
