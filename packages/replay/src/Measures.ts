/**
 * Collects the measures of a replay.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import type { Random } from '@auburnpin/common'
import type { Task } from '@auburnpin/core'
import { LATENCY_LOG_DEVIATION, LATENCY_SAMPLES_PER_SECOND, P99_DEVIATIONS } from './constants.ts'
import { gaussian } from './gaussian.ts'
import type { Summary } from './Summary.ts'

// The histogram records integers, so ratios are recorded in thousandths.
const RATIO_SCALE = 1_000
const MAX_RATIO = 1_000
const MS_PER_SECOND = 1_000

/** Measures of one replay, recorded while it runs. */
export class Measures {
  readonly #random: Random
  readonly #latencyRatios: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: RATIO_SCALE * MAX_RATIO, numberOfSignificantValueDigits: 3 })
  readonly #urgentStartDelaysMs: number[] = []
  #replicaSeconds = 0
  #replicaSecondsOverObjective = 0
  #doneCoreMs = 0
  #lostCoreMs = 0
  #maxQuotaError = 0

  evictionsForServices = 0
  evictionsForUrgent = 0
  throttles = 0
  brokenInvariants = 0

  constructor (random: Random) {
    this.#random = random
  }

  /** Records one second of a replica whose 99th percentile is `p99Ratio` of its objective; response times are drawn from a log-normal distribution. */
  recordLatencyRatio (p99Ratio: number, load: number): void {
    this.#replicaSeconds++
    if (p99Ratio > 1) this.#replicaSecondsOverObjective++
    const medianRatio = p99Ratio / Math.exp(LATENCY_LOG_DEVIATION * P99_DEVIATIONS)
    const samples = Math.max(1, Math.round(LATENCY_SAMPLES_PER_SECOND * load))
    for (let sample = 0; sample < samples; sample++) {
      const ratio = medianRatio * Math.exp(LATENCY_LOG_DEVIATION * gaussian(this.#random))
      this.#latencyRatios.recordValue(Math.max(1, Math.min(RATIO_SCALE * MAX_RATIO, Math.round(RATIO_SCALE * ratio))))
    }
  }

  recordWorkDone (coreMs: number): void {
    this.#doneCoreMs += coreMs
  }

  recordWorkLost (coreMs: number): void {
    this.#lostCoreMs += coreMs
  }

  recordUrgentStart (delayMs: number): void {
    this.#urgentStartDelaysMs.push(delayMs)
  }

  /** Records the largest share by which a team exceeds its quota at one moment. */
  recordQuotaError (error: number): void {
    this.#maxQuotaError = Math.max(this.#maxQuotaError, error)
  }

  /** Returns the summary of a replay that took `durationMs` of virtual time. */
  toSummary (tasks: readonly Task[], durationMs: number): Summary {
    const jobs = tasks.filter(({ spec }) => spec.kind === 'batch')
    const count = (state: Task['state']): number => jobs.filter(task => task.state === state).length
    const neverStarted = jobs.filter(({ spec, state, attempt }) => spec.isUrgent && state === 'queued' && attempt === 0)
    return {
      ratioP50: this.#ratioAt(50),
      ratioP99: this.#ratioAt(99),
      ratioP999: this.#ratioAt(99.9),
      shareOverObjective: round(this.#replicaSecondsOverObjective / Math.max(1, this.#replicaSeconds)),
      tasksFinished: count('finished'),
      tasksFailed: count('failed'),
      tasksCancelled: count('cancelled'),
      tasksWaiting: count('queued'),
      tasksUnrunnable: count('unrunnable'),
      coresUseful: round((this.#doneCoreMs - this.#lostCoreMs) / durationMs),
      evictions: this.evictionsForServices + this.evictionsForUrgent,
      evictionsForServices: this.evictionsForServices,
      evictionsForUrgent: this.evictionsForUrgent,
      throttles: this.throttles,
      workLostCoreSeconds: round(this.#lostCoreMs / MS_PER_SECOND),
      urgentStartP99Ms: percentile(this.#urgentStartDelaysMs, 0.99),
      urgentNotStarted: neverStarted.length,
      quotaError: round(this.#maxQuotaError),
      brokenInvariants: this.brokenInvariants
    }
  }

  #ratioAt (percent: number): number {
    return this.#latencyRatios.getValueAtPercentile(percent) / RATIO_SCALE
  }
}

const round = (value: number): number => Math.round(value * 10_000) / 10_000

const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0
}
