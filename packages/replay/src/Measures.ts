/**
 * Gathers what a replay measures.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { Random } from '@auburnpin/common'
import type { Task } from '@auburnpin/core'
import { ANSWER_DEVIATION, DRAWS_PER_SECOND, P99_DEVIATIONS } from './constants.ts'
import { gaussian } from './gaussian.ts'
import type { Summary } from './Summary.ts'

const RATIO_SCALE = 1_000
const HIGHEST_RATIO = 1_000
const CORE_SECOND = 1_000

/** One replay's figures. */
export class Measures {
  readonly #random: Random
  readonly #ratios: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: RATIO_SCALE * HIGHEST_RATIO, numberOfSignificantValueDigits: 3 })
  readonly #urgentStartsMs: number[] = []
  #seconds = 0
  #secondsOver = 0
  #coreMs = 0
  #lostCoreMs = 0
  #quotaError = 0

  evictionsForServices = 0
  evictionsForUrgent = 0
  throttles = 0
  brokenInvariants = 0

  constructor (random: Random) {
    this.#random = random
  }

  /** One second of a replica whose 99th percentile is `ratio` of its objective. */
  answered (ratio: number, load: number): void {
    this.#seconds++
    if (ratio > 1) this.#secondsOver++
    const median = ratio / Math.exp(ANSWER_DEVIATION * P99_DEVIATIONS)
    const draws = Math.max(1, Math.round(DRAWS_PER_SECOND * load))
    for (let draw = 0; draw < draws; draw++) {
      const drawn = median * Math.exp(ANSWER_DEVIATION * gaussian(this.#random))
      this.#ratios.recordValue(Math.max(1, Math.min(RATIO_SCALE * HIGHEST_RATIO, Math.round(RATIO_SCALE * drawn))))
    }
  }

  worked (coreMs: number): void {
    this.#coreMs += coreMs
  }

  lost (coreMs: number): void {
    this.#lostCoreMs += coreMs
  }

  startedUrgent (afterMs: number): void {
    this.#urgentStartsMs.push(afterMs)
  }

  /** Share by which the furthest team is past its quota at one moment. */
  lookedAtQuota (error: number): void {
    this.#quotaError = Math.max(this.#quotaError, error)
  }

  /** The figures at the end of `durationMs`. */
  toSummary (tasks: readonly Task[], durationMs: number): Summary {
    const jobs = tasks.filter(({ spec }) => spec.kind === 'batch')
    const count = (state: Task['state']): number => jobs.filter(task => task.state === state).length
    const neverStarted = jobs.filter(({ spec, state, attempt }) => spec.isUrgent && state === 'queued' && attempt === 0)
    return {
      ratioP50: this.#ratioAt(50),
      ratioP99: this.#ratioAt(99),
      ratioP999: this.#ratioAt(99.9),
      shareOverObjective: round(this.#secondsOver / Math.max(1, this.#seconds)),
      tasksFinished: count('finished'),
      tasksFailed: count('failed'),
      tasksCancelled: count('cancelled'),
      tasksWaiting: count('queued'),
      tasksUnrunnable: count('unrunnable'),
      coresUseful: round((this.#coreMs - this.#lostCoreMs) / durationMs),
      evictions: this.evictionsForServices + this.evictionsForUrgent,
      evictionsForServices: this.evictionsForServices,
      evictionsForUrgent: this.evictionsForUrgent,
      throttles: this.throttles,
      workLostCoreSeconds: round(this.#lostCoreMs / CORE_SECOND),
      urgentStartP99Ms: percentile(this.#urgentStartsMs, 0.99),
      urgentNotStarted: neverStarted.length,
      quotaError: round(this.#quotaError),
      brokenInvariants: this.brokenInvariants
    }
  }

  #ratioAt (percent: number): number {
    return this.#ratios.getValueAtPercentile(percent) / RATIO_SCALE
  }
}

const round = (value: number): number => Math.round(value * 10_000) / 10_000

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0
}
