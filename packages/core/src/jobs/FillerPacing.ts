/**
 * Pace of the fillers on one worker, limited by the pressure on its serving tasks.
 */
import { brand, type Instant } from '@auburnpin/common'
import { HARMLESS_ADDED_PRESSURE, MAX_MOVES, MAX_PLACING_PRESSURE, MIN_MEASURED_INTERFERENCE, PACE_SETTLE_MS, PRESSURE_FORECAST_HIGH, PRESSURE_GOAL, PRESSURE_HIGH, PRESSURE_LOW, SPEED_UP_GAP_MS } from './constants.ts'
import type { FillerInterference } from './FillerInterference.ts'
import type { ServingPressure } from './ServingPressure.ts'
import { FULL_PACE, type RunRecord } from './TaskRecord.ts'

/** Progress in percent below which a run without checkpoints may be restarted elsewhere. */
const RESTARTABLE_PROGRESS_PERCENT = 35

/** Number of consecutive slow-downs at which fillers that count as harmless are suspended as well. */
const SLOW_DOWNS_BEFORE_ALL = 2

/**
 * Suspends the fillers that interfere most when a serving task approaches its latency target, and all of them if
 * that does not help; resumes them as the pressure allows. A suspended filler that loses little work is also stopped,
 * to be restarted where it interferes less. Designed for interference that changes within seconds and noisy
 * readings that cover the last half second.
 */
export class FillerPacing {
  #changedAt = brand<Instant>(-Infinity)
  #slowedDownAt = brand<Instant>(-Infinity)
  #consecutiveSlowDowns = 0

  /** Whether fillers were slowed down and readings taken since do not show yet that the serving tasks have recovered. */
  isRecovering (now: Instant): boolean {
    return this.#consecutiveSlowDowns > 0 || now - this.#slowedDownAt < PACE_SETTLE_MS
  }

  /** Learns from the readings of a report and sets the pace of each filler. */
  update (runs: Iterable<RunRecord>, interference: FillerInterference, now: Instant): void {
    const all = [...runs]
    interference.learn(all, now)
    const fillers = all.filter(run => run.task.step.shape.isFiller)
    const pressures = all.filter(isServing).map(({ pressure }) => pressure)
    const highest = Math.max(0, ...pressures.map(({ smoothed }) => smoothed))
    if (fillers.length > 0 && pressures.some(exceedsLimit)) {
      if (now - this.#changedAt >= PACE_SETTLE_MS) this.#slowDown(highest, rankFillers(fillers, all, interference), now)
      return
    }
    this.#consecutiveSlowDowns = 0
    if (highest < PRESSURE_LOW && now - this.#changedAt >= SPEED_UP_GAP_MS) this.#speedUp(highest, rankFillers(fillers, all, interference), now)
  }

  #slowDown (pressure: number, fillers: readonly RankedFiller[], now: Instant): void {
    this.#consecutiveSlowDowns++
    let excess = this.#consecutiveSlowDowns === 1 ? Math.max(pressure, PRESSURE_HIGH) - PRESSURE_GOAL : Infinity
    for (const { run, addedPressure } of fillers) {
      if (excess <= 0) break
      if (run.pacePercent === 0 || (addedPressure < HARMLESS_ADDED_PRESSURE && this.#consecutiveSlowDowns < SLOW_DOWNS_BEFORE_ALL)) continue
      run.pacePercent = 0
      if (addedPressure >= HARMLESS_ADDED_PRESSURE && run.task.moves < MAX_MOVES && losesLittle(run)) {
        run.isStopRequested = true
        run.task.moves++
      }
      excess -= addedPressure
    }
    this.#changedAt = now
    this.#slowedDownAt = now
  }

  #speedUp (pressure: number, fillers: readonly RankedFiller[], now: Instant): void {
    let expected = pressure
    let raised = 0
    for (const { run, addedPressure } of [...fillers].reverse()) {
      // A filler that was started at a reduced pace goes on at it until full pace is expected to do no harm.
      if (run.pacePercent === FULL_PACE || (run.pacePercent > 0 && pressure + addedPressure > MAX_PLACING_PRESSURE)) continue
      expected += addedPressure
      if (raised > 0 && expected > PRESSURE_GOAL) break
      run.pacePercent = FULL_PACE
      raised++
    }
    if (raised > 0) this.#changedAt = now
  }
}

const isServing = ({ task: { step: { shape } } }: RunRecord): boolean => shape.latencyTargetMs > 0

// Slowing down fillers does not help against pressure caused by the load alone.
const exceedsLimit = ({ smoothed, forecast, interference }: ServingPressure): boolean =>
  (interference === undefined || interference >= MIN_MEASURED_INTERFERENCE) && (smoothed > PRESSURE_HIGH || forecast > PRESSURE_FORECAST_HIGH)

// A stopped run continues from its checkpoint; without one, its work is lost.
const losesLittle = ({ task: { step: { shape } }, progressPercent }: RunRecord): boolean =>
  shape.isCheckpointing || (progressPercent ?? 0) < RESTARTABLE_PROGRESS_PERCENT

type RankedFiller = Readonly<{ run: RunRecord, addedPressure: number }>

/** The fillers with the pressure that each adds at full pace, highest first. */
const rankFillers = (fillers: readonly RunRecord[], runs: readonly RunRecord[], interference: FillerInterference): RankedFiller[] => {
  const ranked = fillers.map(run => ({ run, addedPressure: interference.maxAddedPressure(run.task.step.shape, runs) }))
  return ranked.sort((one, other) => other.addedPressure - one.addedPressure)
}
