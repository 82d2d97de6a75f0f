/**
 * Latency samples of one VM since the last action there.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import { RELAX_FAILURE_MS, SAMPLES_TO_ACT, SAMPLES_TO_RELAX, SETTLE_MS } from '../constants.ts'

/** Latency on a VM: over the objective, low enough to relax throttles, or neither so far. */
export type Assessment = 'degraded' | 'healthy' | 'inconclusive'

const MAX_RELAX_SAMPLE_FACTOR = 16

/** Ignores samples measured before the last action took effect, so that no sample triggers two actions. */
export class LatencyMonitor {
  readonly #awaitsEffect: boolean
  #acceptedFrom = -Infinity
  #ratios: number[] = []
  #slowestService: ServiceName | undefined
  #relaxSampleFactor = 1
  #relaxedAt = -Infinity

  /** Time before which no task is evicted from this VM to protect a service. */
  evictionPausedUntil = -Infinity

  constructor (awaitsEffect: boolean) {
    this.#awaitsEffect = awaitsEffect
  }

  /** The service with the highest latency ratio in the latest sample. */
  get slowestService (): ServiceName | undefined {
    return this.#slowestService
  }

  /** Mean latency ratio over the accepted samples; 0 without any. */
  get meanRatio (): number {
    let sum = 0
    for (const ratio of this.#ratios) sum += ratio
    return sum / Math.max(1, this.#ratios.length)
  }

  /** Records one sample: the service with the highest latency ratio on the VM. */
  recordSample (service: ServiceName, ratio: number, measuredAt: Instant): void {
    if (measuredAt < this.#acceptedFrom) return
    this.#slowestService = service
    this.#ratios.push(ratio)
    if (this.#ratios.length > SAMPLES_TO_RELAX * this.#relaxSampleFactor) this.#ratios.shift()
  }

  /**
   * Returns `healthy` for a mean ratio below `healthyRatio` over enough samples, `degraded` for a mean over the
   * objective in the latest ones. One sample is enough for `degraded` where the model predicts the same.
   */
  assess (healthyRatio: number, predictedRatio: number): Assessment {
    if (predictedRatio > 1 && this.meanRatio > 1) return 'degraded'
    const latest = this.#ratios.slice(-SAMPLES_TO_ACT)
    const isDegraded = latest.length === SAMPLES_TO_ACT && meanOf(latest) > 1
    if (isDegraded) return 'degraded'
    const hasEnoughSamples = this.#ratios.length >= SAMPLES_TO_RELAX * this.#relaxSampleFactor
    return hasEnoughSamples && this.meanRatio < healthyRatio ? 'healthy' : 'inconclusive'
  }

  /** Records a throttling or eviction. One soon after throttles were relaxed doubles the samples needed to relax them again. */
  recordMitigation (now: Instant): void {
    const isSoonAfterRelaxing = now - this.#relaxedAt < RELAX_FAILURE_MS
    this.#relaxSampleFactor = isSoonAfterRelaxing ? Math.min(2 * this.#relaxSampleFactor, MAX_RELAX_SAMPLE_FACTOR) : 1
    this.#discardSamples(now)
  }

  /** Records that throttles were relaxed. */
  recordRelaxation (now: Instant): void {
    this.#relaxedAt = now
    this.#discardSamples(now)
  }

  // Samples measured before an action has taken effect don't show its result.
  #discardSamples (now: Instant): void {
    this.#ratios = []
    if (this.#awaitsEffect) this.#acceptedFrom = now + SETTLE_MS
  }
}

const meanOf = (values: readonly number[]): number => {
  let sum = 0
  for (const value of values) sum += value
  return sum / values.length
}
