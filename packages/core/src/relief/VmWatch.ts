/**
 * Latency samples of one VM since the last action there.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import { RELAX_FAILURE_MS, SAMPLES_TO_ACT, SAMPLES_TO_RELAX, SETTLE_MS } from '../constants.ts'

/** Whether the latency on a VM is over the objective, below the level at which throttles are relaxed, or neither for certain. */
export type Assessment = 'degraded' | 'healthy' | 'inconclusive'

const MAX_RELAX_SAMPLE_FACTOR = 16

/** Ignores samples measured before the last action took effect, so that no sample triggers two actions. */
export class VmWatch {
  readonly #awaitsEffect: boolean
  #acceptedFrom = -Infinity
  #ratios: number[] = []
  #worst: ServiceName | undefined
  #relaxSampleFactor = 1
  #relaxedAt = -Infinity

  /** Time before which no task is evicted from this VM to protect a service. */
  evictionPausedUntil = -Infinity

  constructor (awaitsEffect: boolean) {
    this.#awaitsEffect = awaitsEffect
  }

  /** The service with the highest latency ratio in the latest sample. */
  get worst (): ServiceName | undefined {
    return this.#worst
  }

  /** Mean latency ratio over the accepted samples; 0 without any. */
  get meanRatio (): number {
    let sum = 0
    for (const ratio of this.#ratios) sum += ratio
    return sum / Math.max(1, this.#ratios.length)
  }

  /** Records one sample: the service with the highest latency ratio on the VM. */
  observe (service: ServiceName, ratio: number, measuredAt: Instant): void {
    if (measuredAt < this.#acceptedFrom) return
    this.#worst = service
    this.#ratios.push(ratio)
    if (this.#ratios.length > SAMPLES_TO_RELAX * this.#relaxSampleFactor) this.#ratios.shift()
  }

  /**
   * `healthy` takes a mean ratio below `healthyRatio` over enough samples, `degraded` a mean over the objective in the
   * latest ones. Where the model predicts a ratio over the objective as well, one sample is enough for `degraded`.
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
