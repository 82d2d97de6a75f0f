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
 * const tailShare = disturbance.expectBeside(filler, worker.runs.values())
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

  /** What each core that a filler uses adds to a serving task's tail. */
  perCore (serving: JobStep, filler: JobStep): number {
    return this.#model.ratioPerCore(brand<ServiceName>(serving.image), filler.image, ANY_LOAD)
  }

  /** The worst tail expected among the serving tasks once a filler runs beside them as well. */
  expectBeside (filler: JobStep, runs: Iterable<RunRecord>): number {
    let worst = 0
    for (const { task: { step: { shape } }, tailShare } of runs) {
      if (shape.latencyTargetMs === 0) continue
      const known = Math.max(tailShare ?? 0, this.#model.baseRatio(brand<ServiceName>(shape.image), ANY_LOAD))
      worst = Math.max(worst, known + this.perCore(shape, filler) * filler.processors / MILLI)
    }
    return worst
  }
}
