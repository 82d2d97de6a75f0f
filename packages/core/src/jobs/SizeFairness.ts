/**
 * Fairness between the small and the large jobs of a queue.
 */
import type { Instant, QueueName } from '@auburnpin/common'
import { FAIR_SIZE_SHARE, SIZE_BAND_QUANTILES, SIZE_MEMORY_MS, SIZE_SAMPLE } from './constants.ts'
import type { JobRecord } from './JobRecord.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { taskWork } from './taskWork.ts'

/** Number of recent jobs of one band of sizes, and the sum of the shares of their work that was started. */
class SizeBand {
  #accepted = 0
  #started = 0
  #at: Instant

  constructor (now: Instant) {
    this.#at = now
  }

  add (accepted: number, started: number, now: Instant): void {
    this.#decay(now)
    this.#accepted += accepted
    this.#started += started
  }

  totals (now: Instant): Readonly<{ accepted: number, started: number }> {
    this.#decay(now)
    return { accepted: this.#accepted, started: this.#started }
  }

  #decay (now: Instant): void {
    const factor = Math.exp((this.#at - now) / SIZE_MEMORY_MS)
    this.#accepted *= factor
    this.#started *= factor
    this.#at = now
  }
}

/** Sizes of a queue's jobs, in thousandths of a core times milliseconds: the upper bounds of all bands but the last, and a typical size of each band. */
export type QueueBands = Readonly<{ bounds: readonly number[], typical: readonly number[] }>

/** Sizes of the recent jobs of one queue, in bands. */
class QueueSizes {
  readonly #recent: number[] = []
  readonly #bands: readonly SizeBand[]

  constructor (now: Instant) {
    this.#bands = [...SIZE_BAND_QUANTILES, 1].map(() => new SizeBand(now))
  }

  /** Counts a job and returns its band. */
  accept (work: number, now: Instant): SizeBand {
    this.#recent.push(work)
    if (this.#recent.length > SIZE_SAMPLE) this.#recent.shift()
    const smallerShare = this.#recent.filter(other => other < work).length / this.#recent.length
    const index = SIZE_BAND_QUANTILES.findIndex(quantile => smallerShare < quantile)
    const band = this.#bands.at(index) as SizeBand
    band.add(1, 0, now)
    return band
  }

  /** The sizes that divide the bands, and a typical size of each; no bounds while there are few jobs. */
  get bands (): QueueBands {
    const sorted = [...this.#recent].sort((one, other) => one - other)
    const at = (quantile: number): number => sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0
    const edges = [0, ...SIZE_BAND_QUANTILES, 1]
    return { bounds: SIZE_BAND_QUANTILES.map(at), typical: edges.slice(1).map((to, band) => at((to + (edges[band] ?? 0)) / 2)) }
  }

  isBehind (band: SizeBand, now: Instant): boolean {
    let accepted = 0
    let started = 0
    for (const one of this.#bands) {
      const totals = one.totals(now)
      accepted += totals.accepted
      started += totals.started
    }
    const own = band.totals(now)
    return own.started * accepted < FAIR_SIZE_SHARE * started * own.accepted
  }
}

type JobSize = { readonly queue: QueueSizes, readonly band: SizeBand, readonly work: number, startedShare: number, isPromoted: boolean }

/**
 * Jobs with the least remaining work go first, so that most jobs are done in time; while more work arrives than fits,
 * that alone would finish no large job. So the recent jobs of a queue are divided into bands of similar size. While
 * the share of work started of a band's jobs is below `FAIR_SIZE_SHARE` of that of the whole queue, its jobs are
 * promoted one after another. A promoted job stays so until it ends, since half a job is useless, and counts as started.
 *
 * @example
 * fairness.accept(job, 0, now)
 * fairness.startTask(task, now)
 * fairness.promoteIfBehind(step, now) // false
 */
export class SizeFairness {
  readonly #queues = new Map<QueueName, QueueSizes>()
  /** For each job, the sizes of its occurrences. */
  readonly #sizes = new Map<JobRecord, JobSize[]>()

  /** Counts an occurrence of a job that may start. */
  accept (record: JobRecord, occurrence: number, now: Instant): void {
    const { totalWork: work, job: { queue: name } } = record
    let queue = this.#queues.get(name)
    if (queue === undefined) {
      queue = new QueueSizes(now)
      this.#queues.set(name, queue)
    }
    const sizes = this.#sizes.get(record) ?? []
    sizes[occurrence] = { queue, band: queue.accept(work, now), work, startedShare: 0, isPromoted: false }
    this.#sizes.set(record, sizes)
  }

  remove (record: JobRecord): void {
    this.#sizes.delete(record)
  }

  /** Records the first start of a task. */
  startTask ({ step }: TaskRecord, now: Instant): void {
    const size = this.#sizeOf(step)
    if (size !== undefined && size.work > 0 && !size.isPromoted) addStarted(size, taskWork(step.shape) / size.work, now)
  }

  isPromoted (step: StepRecord): boolean {
    return this.#sizeOf(step)?.isPromoted === true
  }

  /** Promotes the occurrence of a job that a step belongs to if its band is behind; returns whether it is promoted. */
  promoteIfBehind (step: StepRecord, now: Instant): boolean {
    const size = this.#sizeOf(step)
    if (size === undefined) return false
    if (!size.isPromoted && size.queue.isBehind(size.band, now)) {
      size.isPromoted = true
      addStarted(size, 1 - size.startedShare, now)
    }
    return size.isPromoted
  }

  /** The bands of a queue; `undefined` if none of its jobs was accepted in this term. */
  bandsOf (queue: QueueName): QueueBands | undefined {
    return this.#queues.get(queue)?.bands
  }

  #sizeOf ({ job, occurrence }: StepRecord): JobSize | undefined {
    return this.#sizes.get(job)?.[occurrence]
  }
}

const addStarted = (size: JobSize, share: number, now: Instant): void => {
  size.startedShare += share
  size.band.add(0, share, now)
}
