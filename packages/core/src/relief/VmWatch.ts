/**
 * What the samples of one VM say about its services since the last act there.
 */
import type { Instant, ServiceName } from '@auburnpin/common'
import { BAD_SAMPLES_TO_ACT, CALM_RATIO, GOOD_SAMPLES_TO_EASE, SETTLE_MS } from '../constants.ts'

/** What the samples call for. */
export type Verdict = 'suffering' | 'calm' | 'undecided'

/** Counts only samples measured after the last act had taken effect, so none is acted upon twice. */
export class VmWatch {
  readonly #waitsOutLag: boolean
  #freshFrom = -Infinity
  #bad = 0
  #good = 0
  #worst: ServiceName | undefined
  #worstRatio = 0
  #easeAfter = GOOD_SAMPLES_TO_EASE

  /** Time before which no eviction is made here. */
  pausedUntil = -Infinity

  constructor (waitsOutLag: boolean) {
    this.#waitsOutLag = waitsOutLag
  }

  get worst (): ServiceName | undefined {
    return this.#worst
  }

  get worstRatio (): number {
    return this.#worstRatio
  }

  /** Takes in the ratio of the VM's worst service in one sample. */
  observe (service: ServiceName, ratio: number, measuredAt: Instant): void {
    if (measuredAt < this.#freshFrom) return
    this.#worst = service
    this.#worstRatio = this.#worstRatio === 0 ? ratio : (this.#worstRatio + ratio) / 2
    if (ratio > 1) {
      this.#bad++
      this.#good = 0
    } else {
      this.#bad = Math.max(0, this.#bad - 1)
      this.#good = ratio < CALM_RATIO ? this.#good + 1 : 0
    }
  }

  get verdict (): Verdict {
    if (this.#bad >= BAD_SAMPLES_TO_ACT) return 'suffering'
    return this.#good >= this.#easeAfter ? 'calm' : 'undecided'
  }

  /** An act was made: what was measured before it takes effect says nothing about what it did. */
  noteAct (now: Instant): void {
    this.#bad = 0
    this.#good = 0
    this.#worstRatio = 0
    if (this.#waitsOutLag) this.#freshFrom = now + SETTLE_MS
  }

  /** Easing was followed by suffering: the next easing takes twice the proof. */
  noteRelapse (): void {
    this.#easeAfter = Math.min(2 * this.#easeAfter, 16 * GOOD_SAMPLES_TO_EASE)
  }
}
