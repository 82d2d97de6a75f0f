/**
 * How fast the fillers of one worker may work beside its serving tasks.
 */
import { brand, type Instant } from '@auburnpin/common'
import { HARMLESS_SHARE, MAX_MOVES, PACE_SETTLE_MS, PACE_UP_GAP_MS, PRESSURE_ALARM, PRESSURE_GOAL, PRESSURE_HIGH, PRESSURE_LOW, SHOWN_DISTURBANCE } from './constants.ts'
import type { Disturbance } from './Disturbance.ts'
import type { ServingTail } from './ServingTail.ts'
import { FULL_PACE, type RunRecord } from './TaskRecord.ts'

/** A run that has got less far than this, in percent, may start anew elsewhere. */
const SMALL_PROGRESS_PERCENT = 35

/** Cuts in turn after which fillers that count as harmless are held as well. */
const CUTS_BEFORE_ALL = 2

/**
 * Holds the fillers that disturb most when a tail nears its target, all of them if that doesn't help, and
 * lets them up again as the tails allow. A held filler that loses little work by it is stopped as well, to
 * start again where it disturbs less. Made for disturbances that change within seconds, with rough
 * readings that cover the last half second.
 */
export class FillerPacing {
  #changedAt = brand<Instant>(-Infinity)
  #cutsInTurn = 0

  /** Takes in a report's readings and sets each filler's pace. */
  observe (runs: Iterable<RunRecord>, disturbance: Disturbance, now: Instant): void {
    const all = [...runs]
    disturbance.learn(all, now)
    const fillers = all.filter(run => run.task.step.shape.isFiller)
    if (fillers.length === 0) return
    const tails = all.filter(isServing).map(({ tail }) => tail)
    const pressure = Math.max(0, ...tails.map(({ smoothed }) => smoothed))
    if (tails.some(isTooHigh)) {
      if (now - this.#changedAt >= PACE_SETTLE_MS) this.#cut(pressure, byHarm(fillers, all, disturbance), now)
      return
    }
    this.#cutsInTurn = 0
    if (pressure < PRESSURE_LOW && now - this.#changedAt >= PACE_UP_GAP_MS) this.#raise(pressure, byHarm(fillers, all, disturbance), now)
  }

  #cut (pressure: number, fillers: readonly HarmfulRun[], now: Instant): void {
    this.#cutsInTurn++
    let excess = this.#cutsInTurn === 1 ? Math.max(pressure, PRESSURE_HIGH) - PRESSURE_GOAL : Infinity
    for (const { run, harm } of fillers) {
      if (excess <= 0) break
      if (run.pacePercent === 0 || (harm < HARMLESS_SHARE && this.#cutsInTurn < CUTS_BEFORE_ALL)) continue
      run.pacePercent = 0
      if (harm >= HARMLESS_SHARE && run.task.moves < MAX_MOVES && losesLittle(run)) {
        run.isStopWanted = true
        run.task.moves++
      }
      excess -= harm
    }
    this.#changedAt = now
  }

  #raise (pressure: number, fillers: readonly HarmfulRun[], now: Instant): void {
    let expected = pressure
    let raised = 0
    for (const { run, harm } of [...fillers].reverse()) {
      if (run.pacePercent === FULL_PACE) continue
      expected += harm
      if (raised > 0 && expected > PRESSURE_GOAL) break
      run.pacePercent = FULL_PACE
      raised++
    }
    if (raised > 0) this.#changedAt = now
  }
}

const isServing = ({ task: { step: { shape } } }: RunRecord): boolean => shape.latencyTargetMs > 0

// What the load alone raises, slower fillers don't lower.
const isTooHigh = ({ smoothed, foreseen, disturbance }: ServingTail): boolean =>
  (disturbance === undefined || disturbance >= SHOWN_DISTURBANCE) && (smoothed > PRESSURE_HIGH || foreseen > PRESSURE_ALARM)

// A stop keeps the checkpoint; without one the work so far is lost.
const losesLittle = ({ task: { step: { shape } }, progressPercent }: RunRecord): boolean =>
  shape.isCheckpointing || (progressPercent ?? 0) < SMALL_PROGRESS_PERCENT

type HarmfulRun = Readonly<{ run: RunRecord, harm: number }>

/** The fillers with what each adds to a pressure at its full pace, most first. */
const byHarm = (fillers: readonly RunRecord[], runs: readonly RunRecord[], disturbance: Disturbance): HarmfulRun[] => {
  const harms = fillers.map(run => ({ run, harm: disturbance.harmOf(run.task.step.shape, runs) }))
  return harms.sort((one, other) => other.harm - one.harm)
}
