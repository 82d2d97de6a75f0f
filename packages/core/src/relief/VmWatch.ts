/**
 * What the samples of one VM say about its services since the last act there.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import { RELAPSE_MS, SAMPLES_TO_ACT, SAMPLES_TO_EASE, SETTLE_MS } from '../constants.ts'

/** What the samples call for. */
export type Verdict = 'suffering' | 'calm' | 'undecided'

const MAX_EASE_FACTOR = 16

/** Counts only samples measured after the last act had taken effect, so none is acted upon twice. */
export class VmWatch {
  readonly #waitsOutLag: boolean
  #freshFrom = -Infinity
  #ratios: number[] = []
  #worst: ServiceName | undefined
  #easeFactor = 1
  #easedAt = -Infinity

  /** Time before which no eviction is made here. */
  pausedUntil = -Infinity

  constructor (waitsOutLag: boolean) {
    this.#waitsOutLag = waitsOutLag
  }

  /** The service that the latest sample showed worst off. */
  get worst (): ServiceName | undefined {
    return this.#worst
  }

  /** Mean ratio over the latest fresh samples; 0 without any. */
  get meanRatio (): number {
    let sum = 0
    for (const ratio of this.#ratios) sum += ratio
    return sum / Math.max(1, this.#ratios.length)
  }

  /** Takes in the ratio of the VM's worst service in one sample. */
  observe (service: ServiceName, ratio: number, measuredAt: Instant): void {
    if (measuredAt < this.#freshFrom) return
    this.#worst = service
    this.#ratios.push(ratio)
    if (this.#ratios.length > SAMPLES_TO_EASE * this.#easeFactor) this.#ratios.shift()
  }

  /**
   * The service counts as calm while its mean ratio is below `calmRatio`. One sample past the objective is
   * proof enough where the model expects no less.
   */
  verdictFor (calmRatio: number, expectedRatio: number): Verdict {
    if (expectedRatio > 1 && this.meanRatio > 1) return 'suffering'
    const latest = this.#ratios.slice(-SAMPLES_TO_ACT)
    const isSuffering = latest.length === SAMPLES_TO_ACT && meanOf(latest) > 1
    if (isSuffering) return 'suffering'
    const isProven = this.#ratios.length >= SAMPLES_TO_EASE * this.#easeFactor
    return isProven && this.meanRatio < calmRatio ? 'calm' : 'undecided'
  }

  /** Throttled or evicted. Suffering soon after an easing makes the next one take twice the proof. */
  noteRelief (now: Instant): void {
    const isRelapse = now - this.#easedAt < RELAPSE_MS
    this.#easeFactor = isRelapse ? Math.min(2 * this.#easeFactor, MAX_EASE_FACTOR) : 1
    this.#noteAct(now)
  }

  /** Gave some of a throttle back. */
  noteEasing (now: Instant): void {
    this.#easedAt = now
    this.#noteAct(now)
  }

  // What was measured before an act takes effect says nothing about what it did.
  #noteAct (now: Instant): void {
    this.#ratios = []
    if (this.#waitsOutLag) this.#freshFrom = now + SETTLE_MS
  }
}

const meanOf = (values: readonly number[]): number => {
  let sum = 0
  for (const value of values) sum += value
  return sum / values.length
}
