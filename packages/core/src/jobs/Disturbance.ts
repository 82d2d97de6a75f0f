/**
 * How much fillers disturb serving tasks, by what both run.
 */
import { brand, type Instant, type ServiceName } from '@auburnpin/common'
import { LearntInterference, type LearntEstimates } from '../interference/LearntInterference.ts'
import type { Neighbour } from '../interference/InterferenceModel.ts'
import { EMPTY_TAIL_SHARE, FIRST_EMPTY_TAIL_SHARE, TAIL_SMOOTHING, TREND_SHARE } from './constants.ts'
import type { RunRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'

/** What an owner has learnt, for the next one. */
export type LearntDisturbance = Readonly<{ estimates: LearntEstimates, shortest: Readonly<Record<string, number>> }>

/** A worker doesn't tell how much of its processors a serving task uses, so one estimate stands for all loads. */
const ANY_LOAD = 0
const NO_BANDS: readonly number[] = []
const MILLI = 1_000

/**
 * Learns from each report. A tail grows without bound as a server nears its capacity, so what is learnt and
 * compared is the server's *pressure*: how busy it must be to show such a tail, as a share of how busy it
 * may be at its target. 1 is just on target; what several fillers add to it adds up.
 *
 * @example
 * disturbance.learn(worker.runs.values(), now)
 * const added = disturbance.harmOf(filler, filler.processors, worker.runs.values())
 */
export class Disturbance {
  readonly #model = new LearntInterference(NO_BANDS)
  /** For each serving image the shortest tail seen, as a share of its target. */
  readonly #shortest = new Map<string, number>()

  /** What has been learnt so far. */
  get learnt (): LearntDisturbance {
    return { estimates: this.#model.estimates, shortest: Object.fromEntries(this.#shortest) }
  }

  /** Goes on from what an earlier owner has learnt. */
  restore ({ estimates, shortest }: LearntDisturbance, now: Instant): void {
    this.#model.restore(estimates, now)
    for (const [image, share] of Object.entries(shortest)) this.#shortest.set(image, share)
  }

  /** Takes in the readings of one worker's runs. */
  learn (runs: Iterable<RunRecord>, now: Instant): void {
    const serving: RunRecord[] = []
    const neighbours: Neighbour[] = []
    for (const run of runs) {
      const { shape } = run.task.step
      if (run.reading === undefined) continue
      if (shape.isFiller) neighbours.push({ kind: shape.image, cores: run.reading / MILLI })
      else if (shape.latencyTargetMs > 0 && run.reading > 0 && run.progressPercent === AT_WORK) serving.push(run)
    }
    for (const run of serving) {
      const { shape } = run.task.step
      const pressure = this.#pressureOf(shape, (run.reading ?? 0) / shape.latencyTargetMs)
      // The load of serving tasks swings within seconds, so a rise is taken to go on.
      run.newestPressure = pressure + Math.max(0, pressure - (run.lastPressure ?? pressure)) * TREND_SHARE
      run.lastPressure = pressure
      run.pressure = run.pressure === undefined ? pressure : run.pressure + TAIL_SMOOTHING * (pressure - run.pressure)
      this.#model.learn({ service: brand<ServiceName>(shape.image), load: ANY_LOAD, ratio: pressure, neighbours, measuredAt: now })
    }
  }

  // A server that is busy for the share b of its time has a tail of 1 / (1 - b) times its tail when it is idle.
  #pressureOf ({ image }: JobStep, tailShare: number): number {
    const shortest = Math.min(tailShare, this.#shortest.get(image) ?? FIRST_EMPTY_TAIL_SHARE)
    this.#shortest.set(image, shortest)
    const idle = shortest * EMPTY_TAIL_SHARE
    return Math.max(0, 1 - idle / tailShare) / (1 - idle)
  }

  /** What a filler that uses so many thousandths of a core adds to the pressure on the serving task that it disturbs most. */
  harmOf (filler: JobStep, milliCores: number, serving: Iterable<RunRecord>): number {
    let perCore = 0
    for (const { task: { step: { shape } } } of serving) {
      if (shape.latencyTargetMs > 0) perCore = Math.max(perCore, this.#perCore(shape, filler))
    }
    return perCore * milliCores / MILLI
  }

  /** The pressure on the serving task that fares worst, as learnt, with one more filler beside all that run. */
  expectBeside (filler: JobStep, runs: Iterable<RunRecord>): number {
    const all = [...runs]
    let worst = 0
    const seen = new Set<string>()
    for (const { task: { step: { shape } } } of all) {
      if (shape.latencyTargetMs === 0 || seen.has(shape.image)) continue
      seen.add(shape.image)
      let pressure = this.#model.baseRatio(brand<ServiceName>(shape.image), ANY_LOAD) + this.#perCore(shape, filler) * filler.processors / MILLI
      for (const { task: { step }, pacePercent } of all) {
        if (step.shape.isFiller && pacePercent > 0) pressure += this.#perCore(shape, step.shape) * step.shape.processors / MILLI
      }
      worst = Math.max(worst, pressure)
    }
    return worst
  }

  #perCore (serving: JobStep, filler: JobStep): number {
    return this.#model.ratioPerCore(brand<ServiceName>(serving.image), filler.image, ANY_LOAD)
  }
}

/** Progress of a lasting task that is at work, in percent. */
const AT_WORK = 100

/** The worst smoothed pressure among the serving tasks. */
export const worstPressure = (runs: Iterable<RunRecord>): number => {
  let worst = 0
  for (const { pressure } of runs) worst = Math.max(worst, pressure ?? 0)
  return worst
}

/** The worst of the newest pressures, each with its trend. */
export const worstNewPressure = (runs: Iterable<RunRecord>): number => {
  let worst = 0
  for (const { newestPressure } of runs) worst = Math.max(worst, newestPressure ?? 0)
  return worst
}
