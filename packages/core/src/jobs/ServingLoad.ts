/**
 * Pressure on the serving tasks of one step that is caused by their own load.
 */
import type { Instant } from '@auburnpin/common'
import { LOAD_MAX_AGE_MS, LOAD_TREND_WINDOW_MS } from './constants.ts'
import type { TaskRecord } from './TaskRecord.ts'

type Sample = Readonly<{ pressure: number, isWithoutFillers: boolean, at: Instant }>
type Level = Readonly<{ pressure: number, at: Instant }>

/** Minimum number of tasks beside fillers from which the load is estimated if no task is without fillers. */
const MIN_SAMPLES_WITH_FILLERS = 3
/** Quantile of the pressures beside fillers that is used as the estimate of the load. */
const LOW_PRESSURE_QUANTILE = 1 / 3
/** Minimum milliseconds between two recorded levels; several readings fall between them. */
const LEVEL_GAP_MS = 200

/**
 * The tasks of a step share one load, which changes within seconds. Its level is the median pressure of the tasks
 * without fillers on their worker, so that a single outlier has no effect. Pressure above this level is caused by
 * other tasks on the same worker.
 *
 * @example
 * load.record(task, 0.7, true, now)
 * load.pressureAt(now) // 0.7
 */
export class ServingLoad {
  readonly #samples = new Map<TaskRecord, Sample>()
  #levels: Level[] = []
  /** The last computed level, because a scheduling pass reads it many times. */
  #cached: Readonly<{ pressure: number | undefined, at: Instant }> | undefined

  /** Records the pressure of a task; `isWithoutFillers`: no filler is active on its worker. */
  record (task: TaskRecord, pressure: number, isWithoutFillers: boolean, now: Instant): void {
    this.#samples.set(task, { pressure, isWithoutFillers, at: now })
    this.#cached = undefined
    const last = this.#levels.at(-1)
    if (last !== undefined && now - last.at < LEVEL_GAP_MS) return
    const level = this.pressureAt(now)
    if (level === undefined) return
    this.#levels.push({ pressure: level, at: now })
    while (this.#levels.length > 2 && now - (this.#levels[1]?.at ?? now) > LOAD_TREND_WINDOW_MS) this.#levels.shift()
  }

  /** Pressure caused by the load alone; `undefined` while there are too few recent readings. */
  pressureAt (now: Instant): number | undefined {
    if (this.#cached?.at !== now) this.#cached = { pressure: this.#levelAt(now), at: now }
    return this.#cached.pressure
  }

  #levelAt (now: Instant): number | undefined {
    const withoutFillers: number[] = []
    const withFillers: number[] = []
    for (const [task, { pressure, isWithoutFillers, at }] of this.#samples) {
      if (now - at > LOAD_MAX_AGE_MS) this.#samples.delete(task)
      else if (isWithoutFillers) withoutFillers.push(pressure)
      else withFillers.push(pressure)
    }
    if (withoutFillers.length > 0) return quantileOf(withoutFillers, 1 / 2)
    return withFillers.length >= MIN_SAMPLES_WITH_FILLERS ? quantileOf(withFillers, LOW_PRESSURE_QUANTILE) : undefined
  }

  /** The pressure expected `aheadMs` from now; a rise is extrapolated, a fall is not. */
  forecastAt (now: Instant, aheadMs: number): number | undefined {
    const level = this.pressureAt(now)
    const [first] = this.#levels
    if (level === undefined || first === undefined || now - first.at < LEVEL_GAP_MS || now - first.at > LOAD_TREND_WINDOW_MS * 2) return level
    return level + Math.max(0, level - first.pressure) * aheadMs / (now - first.at)
  }
}

// Sorts `values` in place.
const quantileOf = (values: number[], quantile: number): number => {
  values.sort((one, other) => one - other)
  return values[Math.min(values.length - 1, Math.floor((values.length - 1) * quantile))] ?? 0
}
