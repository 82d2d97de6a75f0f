/**
 * How much fillers disturb serving tasks, by what both run.
 */
import { brand, type Instant, type ServiceName } from '@auburnpin/common'
import { LearntInterference } from '../interference/LearntInterference.ts'
import type { Neighbour } from '../interference/InterferenceModel.ts'
import { TAIL_SHARE_BOUND, TAIL_SMOOTHING } from './constants.ts'
import type { RunRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'

/** A worker doesn't tell how much of its processors a serving task uses, so one estimate stands for all loads. */
const ANY_LOAD = 0
const NO_BANDS: readonly number[] = []
const MILLI = 1_000

/**
 * Learns from each report; tails count as shares of their targets.
 *
 * @example
 * disturbance.learn(worker.runs.values(), now)
 * const added = disturbance.harmOf(filler, filler.processors, worker.runs.values())
 */
export class Disturbance {
  readonly #model = new LearntInterference(NO_BANDS)

  /** Takes in the readings of one worker's runs. */
  learn (runs: Iterable<RunRecord>, now: Instant): void {
    const serving: RunRecord[] = []
    const neighbours: Neighbour[] = []
    for (const run of runs) {
      const { shape } = run.task.step
      if (run.reading === undefined) continue
      if (shape.isFiller) neighbours.push({ kind: shape.image, cores: run.reading / MILLI })
      else if (shape.latencyTargetMs > 0) serving.push(run)
    }
    for (const run of serving) {
      const { shape } = run.task.step
      const ratio = Math.min(TAIL_SHARE_BOUND, (run.reading ?? 0) / shape.latencyTargetMs)
      run.tailShare = run.tailShare === undefined ? ratio : run.tailShare + TAIL_SMOOTHING * (ratio - run.tailShare)
      this.#model.learn({ service: brand<ServiceName>(shape.image), load: ANY_LOAD, ratio, neighbours, measuredAt: now })
    }
  }

  /** What a filler that uses so many thousandths of a core adds to the tail of the serving task that it disturbs most. */
  harmOf (filler: JobStep, milliCores: number, serving: Iterable<RunRecord>): number {
    let perCore = 0
    for (const { task: { step: { shape } } } of serving) {
      if (shape.latencyTargetMs > 0) perCore = Math.max(perCore, this.#perCore(shape, filler))
    }
    return perCore * milliCores / MILLI
  }

  /** The worst tail among the serving tasks, smoothed or else as learnt of their image. */
  worstTail (runs: Iterable<RunRecord>): number {
    let worst = 0
    for (const { task: { step: { shape } }, tailShare } of runs) {
      if (shape.latencyTargetMs > 0) worst = Math.max(worst, tailShare ?? this.#model.baseRatio(brand<ServiceName>(shape.image), ANY_LOAD))
    }
    return worst
  }

  /** The worst of the newest readings, as a share of its target. */
  worstReading (runs: Iterable<RunRecord>): number {
    let worst = 0
    for (const { task: { step: { shape } }, reading } of runs) {
      if (shape.latencyTargetMs > 0) worst = Math.max(worst, (reading ?? 0) / shape.latencyTargetMs)
    }
    return worst
  }

  #perCore (serving: JobStep, filler: JobStep): number {
    return this.#model.ratioPerCore(brand<ServiceName>(serving.image), filler.image, ANY_LOAD)
  }
}
