/**
 * How fast the fillers of one worker may work beside its serving tasks.
 */
import { brand, type Instant } from '@auburnpin/common'
import { PACE_SETTLE_MS, PACE_UP_GAP_MS, PACE_UP_PERCENT, TAIL_GOAL, TAIL_HIGH, TAIL_LOW } from './constants.ts'
import type { Disturbance } from './Disturbance.ts'
import { FULL_PACE, type RunRecord } from './TaskRecord.ts'

const MILLI = 1_000

/**
 * Holds the fillers that disturb most when a tail nears its target, all of them if that doesn't help, and
 * lets them up again one at a time. Made for disturbances that change within seconds, with rough readings
 * that cover the last half second.
 */
export class FillerPacing {
  #changedAt = brand<Instant>(-Infinity)
  #cutsInTurn = 0
  #isLimited = false

  /** Whether some filler works at less than its full pace. */
  get isLimited (): boolean {
    return this.#isLimited
  }

  /** Takes in a report's readings and sets each filler's pace. */
  observe (runs: Iterable<RunRecord>, disturbance: Disturbance, now: Instant): void {
    const all = [...runs]
    disturbance.learn(all, now)
    const fillers = all.filter(run => run.task.step.shape.isFiller)
    this.#isLimited = fillers.some(run => run.pacePercent < FULL_PACE)
    if (fillers.length === 0) return
    const worst = worstServing(all)
    const tailShare = worst?.tailShare ?? 0
    if (worst !== undefined && tailShare > TAIL_HIGH) {
      if (now - this.#changedAt >= PACE_SETTLE_MS) this.#cut(worst, fillers, disturbance, now)
    } else {
      this.#cutsInTurn = 0
      if (tailShare < TAIL_LOW && now - this.#changedAt >= PACE_UP_GAP_MS) this.#raise(worst, fillers, disturbance, now)
    }
    this.#isLimited = fillers.some(run => run.pacePercent < FULL_PACE)
  }

  #cut (worst: RunRecord, fillers: readonly RunRecord[], disturbance: Disturbance, now: Instant): void {
    this.#cutsInTurn++
    let excess = this.#cutsInTurn > 1 ? Infinity : (worst.tailShare ?? 0) - TAIL_GOAL
    const byHarm = fillers.filter(run => run.pacePercent > 0)
      .map(run => ({ run, harm: harmOf(worst, run, disturbance) })).sort((one, other) => other.harm - one.harm)
    for (const { run, harm } of byHarm) {
      if (excess <= 0) break
      run.pacePercent = 0
      excess -= harm
      this.#changedAt = now
    }
  }

  #raise (worst: RunRecord | undefined, fillers: readonly RunRecord[], disturbance: Disturbance, now: Instant): void {
    let gentlest: RunRecord | undefined
    let least = Infinity
    for (const run of fillers) {
      if (run.pacePercent >= FULL_PACE) continue
      const harm = worst === undefined ? 0 : disturbance.perCore(worst.task.step.shape, run.task.step.shape)
      if (harm >= least) continue
      gentlest = run
      least = harm
    }
    if (gentlest === undefined) return
    gentlest.pacePercent = Math.min(FULL_PACE, gentlest.pacePercent + PACE_UP_PERCENT)
    this.#changedAt = now
  }
}

const worstServing = (runs: readonly RunRecord[]): RunRecord | undefined => {
  let worst: RunRecord | undefined
  for (const run of runs) if (run.tailShare !== undefined && run.tailShare > (worst?.tailShare ?? 0)) worst = run
  return worst
}

const harmOf = (serving: RunRecord, filler: RunRecord, disturbance: Disturbance): number =>
  disturbance.perCore(serving.task.step.shape, filler.task.step.shape) * (filler.reading ?? filler.task.step.shape.processors) / MILLI
