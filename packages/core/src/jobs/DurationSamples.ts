/**
 * Durations of the runs of one kind of task.
 */
import type { Instant } from '@auburnpin/common'
import { build, type Histogram } from 'hdr-histogram-js'

/** Runs after which their durations count as learnt; the 90th percentile then has two samples above it. */
export const MIN_DURATION_SAMPLES = 20

/** Most samples and milliseconds of a generation: at least 25 jobs of 20 tasks, or several swings of the load. */
const GENERATION_SAMPLES = 500
const GENERATION_MS = 60_000

/** Median and 90th percentile of a distribution, and the ratio of its quartiles. */
export type DurationSummary = Readonly<{ median: number, high: number, spread: number }>

/** Histograms hold integers, so that ratios are counted in thousandths. */
const RATIO_UNITS = 1_000
const MAX_RATIO = 1_000
const MAX_RUN_MS = 86_400_000
/** Two significant digits limit the error of a quantile to 1 %. */
const SIGNIFICANT_DIGITS = 2
/** Share of new samples after which quantiles are computed again, as each takes a pass through the histogram. */
const SUMMARY_REFRESH_SHARE = 0.05
const MEDIAN_PERCENT = 50
const HIGH_PERCENT = 90
const QUARTILE_PERCENTS = [25, 75] as const

/**
 * Run times, and run times divided by the client's estimate. Samples are counted in generations: a quantile covers the
 * current generation and the one before, so that a change of the tasks takes effect after at most two of them.
 *
 * @example
 * samples.record(1_730, 900, now)
 * samples.runMs.median // 1_728
 */
export class DurationSamples {
  readonly #runMs = new AgedHistogram(MAX_RUN_MS)
  readonly #ratio = new AgedHistogram(MAX_RATIO * RATIO_UNITS)
  #generationSince: Instant
  #generationCount = 0

  constructor (now: Instant) {
    this.#generationSince = now
  }

  /** Number of samples that the quantiles cover. */
  get count (): number {
    return this.#runMs.count
  }

  get runMs (): DurationSummary {
    return this.#runMs.summary
  }

  /** The run time divided by the client's estimate; `undefined` with too few samples that had one. */
  get ratio (): DurationSummary | undefined {
    if (this.#ratio.count < MIN_DURATION_SAMPLES) return undefined
    const { median, high, spread } = this.#ratio.summary
    return { median: median / RATIO_UNITS, high: high / RATIO_UNITS, spread }
  }

  /** Records a run of `runMs` milliseconds; `estimateMs` is 0 without an estimate. */
  record (runMs: number, estimateMs: number, now: Instant): void {
    const isOver = this.#generationCount >= GENERATION_SAMPLES || now - this.#generationSince >= GENERATION_MS
    // A short generation is kept until there are enough samples to do without the one before.
    if (isOver && this.#generationCount >= MIN_DURATION_SAMPLES) {
      this.#runMs.startGeneration()
      this.#ratio.startGeneration()
      this.#generationSince = now
      this.#generationCount = 0
    }
    this.#generationCount++
    this.#runMs.record(runMs)
    if (estimateMs > 0) this.#ratio.record(RATIO_UNITS * runMs / estimateMs)
  }
}

/** A histogram of the current generation of samples and the one before. */
class AgedHistogram {
  readonly #max: number
  readonly #current: Histogram
  /** Both generations. */
  readonly #all: Histogram
  #summary: DurationSummary | undefined
  #countOfSummary = 0

  constructor (max: number) {
    this.#max = max
    this.#current = createHistogram(max)
    this.#all = createHistogram(max)
  }

  get count (): number {
    return this.#all.totalCount
  }

  get summary (): DurationSummary {
    if (this.#summary === undefined || this.count - this.#countOfSummary > this.#countOfSummary * SUMMARY_REFRESH_SHARE) {
      const [low, upper] = QUARTILE_PERCENTS.map(percent => this.#all.getValueAtPercentile(percent))
      this.#summary = { median: this.#all.getValueAtPercentile(MEDIAN_PERCENT), high: this.#all.getValueAtPercentile(HIGH_PERCENT), spread: (upper ?? 1) / Math.max(1, low ?? 1) }
      this.#countOfSummary = this.count
    }
    return this.#summary
  }

  record (value: number): void {
    const counted = Math.min(this.#max, Math.max(1, Math.round(value)))
    this.#current.recordValue(counted)
    this.#all.recordValue(counted)
  }

  startGeneration (): void {
    this.#all.reset()
    this.#all.add(this.#current)
    this.#current.reset()
    this.#summary = undefined
  }
}

const createHistogram = (highestTrackableValue: number): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, bitBucketSize: 32, useWebAssembly: false })
