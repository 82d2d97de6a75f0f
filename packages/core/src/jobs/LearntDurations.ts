/**
 * How long tasks really take, learnt from the runs that ended.
 */
import type { Instant } from '@auburnpin/common'
import { DurationSamples, MIN_DURATION_SAMPLES } from './DurationSamples.ts'
import type { StepRecord } from './StepRecord.ts'
import { expectedMs } from './taskWork.ts'

/** Most pairs of queue and image whose durations are kept, each with histograms of 40 KB. */
const MAX_LEARNT_KINDS = 128

/** The distribution of the run time of a step's tasks, in milliseconds. */
export type LearntDuration = Readonly<{ medianMs: number, highMs: number }>

/**
 * Learns, for each queue and image, the distribution of the run time and of the run time divided by the client's
 * estimate, over runs that ended as `done`. Estimates may be wrong by a factor of ten while tasks of an image take the
 * same time, or right in proportion while tasks of an image differ; the distribution with the smaller spread is used.
 *
 * @example
 * durations.record(step, 1_730, now)
 * durations.expectedMs(step) // 1_710
 */
export class LearntDurations {
  /** In the order of their last samples. */
  readonly #kinds = new Map<string, DurationSamples>()

  /** Number of pairs of queue and image with enough samples. */
  get learntCount (): number {
    let count = 0
    for (const samples of this.#kinds.values()) if (samples.count >= MIN_DURATION_SAMPLES) count++
    return count
  }

  /** Records the duration in milliseconds of a whole run of a step's task that ended as `done`. */
  record (step: StepRecord, runMs: number, now: Instant): void {
    const kind = kindOf(step)
    const samples = this.#kinds.get(kind) ?? new DurationSamples(now)
    // The kind moves to the end, so that the one without a sample for longest is evicted first.
    this.#kinds.delete(kind)
    this.#kinds.set(kind, samples)
    samples.record(runMs, step.shape.estimateMs, now)
    const [oldest] = this.#kinds.keys()
    if (this.#kinds.size > MAX_LEARNT_KINDS && oldest !== undefined) this.#kinds.delete(oldest)
  }

  /** The learnt run time of a step's tasks; `undefined` until there are enough samples, and for tasks without an end. */
  learnt (step: StepRecord): LearntDuration | undefined {
    const samples = step.shape.isLasting ? undefined : this.#kinds.get(kindOf(step))
    if (samples === undefined || samples.count < MIN_DURATION_SAMPLES) return undefined
    const { runMs, ratio } = samples
    const { estimateMs } = step.shape
    if (estimateMs <= 0 || ratio === undefined || ratio.spread > runMs.spread) return { medianMs: runMs.median, highMs: runMs.high }
    return { medianMs: ratio.median * estimateMs, highMs: ratio.high * estimateMs }
  }

  /** The median run time of a step's tasks in milliseconds; the client's estimate until there are enough samples. */
  expectedMs (step: StepRecord): number {
    return this.learnt(step)?.medianMs ?? expectedMs(step.shape)
  }
}

const kindOf = ({ job: { job: { queue } }, shape: { image } }: StepRecord): string => `${queue} ${image}`
