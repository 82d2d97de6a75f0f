/**
 * How busy the serving tasks of one step are by their own load.
 */
import type { Instant } from '@auburnpin/common'
import { LOAD_FRESH_MS, LOAD_TREND_MS } from './constants.ts'
import type { TaskRecord } from './TaskRecord.ts'

type Sample = Readonly<{ pressure: number, isAlone: boolean, at: Instant }>
type Level = Readonly<{ pressure: number, at: Instant }>

/** Fewest disturbed tasks whose calmer ones tell the load. */
const MIN_DISTURBED = 3
/** Of disturbed tasks, the share from the calmest up that tells the load. */
const CALM_SHARE = 1 / 3
/** Levels are kept this far apart, in milliseconds; several readings fall between two. */
const LEVEL_GAP_MS = 200

/**
 * The tasks of a step share one load, which swings within seconds. Its level is the pressure that tasks
 * without fillers beside them show, so that one odd reading doesn't count; a task that shows more than this
 * is disturbed by what runs beside it.
 *
 * @example
 * load.note(task, 0.7, true, now)
 * load.pressureAt(now) // 0.7
 */
export class ServingLoad {
  readonly #samples = new Map<TaskRecord, Sample>()
  #levels: Level[] = []
  /** The level as last worked out, for passes that ask for it often. */
  #known: Readonly<{ pressure: number | undefined, at: Instant }> | undefined

  /** Takes in the pressure that a task shows; `isAlone`: no filler works beside it. */
  note (task: TaskRecord, pressure: number, isAlone: boolean, now: Instant): void {
    this.#samples.set(task, { pressure, isAlone, at: now })
    this.#known = undefined
    const last = this.#levels.at(-1)
    if (last !== undefined && now - last.at < LEVEL_GAP_MS) return
    const level = this.pressureAt(now)
    if (level === undefined) return
    this.#levels.push({ pressure: level, at: now })
    while (this.#levels.length > 2 && now - (this.#levels[1]?.at ?? now) > LOAD_TREND_MS) this.#levels.shift()
  }

  /** Pressure by the load alone; `undefined` while too few readings are fresh. */
  pressureAt (now: Instant): number | undefined {
    if (this.#known?.at !== now) this.#known = { pressure: this.#levelAt(now), at: now }
    return this.#known.pressure
  }

  #levelAt (now: Instant): number | undefined {
    const alone: number[] = []
    const disturbed: number[] = []
    for (const [task, { pressure, isAlone, at }] of this.#samples) {
      if (now - at > LOAD_FRESH_MS) this.#samples.delete(task)
      else if (isAlone) alone.push(pressure)
      else disturbed.push(pressure)
    }
    if (alone.length > 0) return shareOf(alone, 1 / 2)
    return disturbed.length >= MIN_DISTURBED ? shareOf(disturbed, CALM_SHARE) : undefined
  }

  /** The pressure to be expected some milliseconds ahead if a rise goes on. */
  expectAt (now: Instant, aheadMs: number): number | undefined {
    const level = this.pressureAt(now)
    const [first] = this.#levels
    if (level === undefined || first === undefined || now - first.at < LEVEL_GAP_MS || now - first.at > LOAD_TREND_MS * 2) return level
    return level + Math.max(0, level - first.pressure) * aheadMs / (now - first.at)
  }
}

// The value that so great a share of the values is at most.
const shareOf = (values: number[], share: number): number => {
  values.sort((one, other) => one - other)
  return values[Math.min(values.length - 1, Math.floor((values.length - 1) * share))] ?? 0
}
