/**
 * Expected free capacity of one worker over time.
 */
import type { Instant } from '@auburnpin/common'
import { expectedRestMs } from './expectedEnd.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Processors are in thousandths of a core; those for fillers are counted apart, as fillers reserve none. */
type Capacity = { processors: number, fillerProcessors: number, memoryMb: number, accelerators: number }

/** Capacity that comes free, or is taken if negative, after some milliseconds. */
type CapacityChange = Readonly<Capacity & { atMs: number }>

/** A task that is expected to start on the worker. */
type Reservation = Readonly<{ shape: JobStep, durationMs: number }>

/**
 * Free capacity of a worker now, the ends of its runs as they are expected, and the tasks that are expected to start
 * there. Times are milliseconds from the moment of its creation.
 *
 * @example
 * const timeline = WorkerTimeline.of(worker, 12_400, 1.5, now)
 * const atMs = timeline.startMs(shape) // 420
 * timeline.reserve(shape, atMs, 2_200)
 */
export class WorkerTimeline {
  readonly #free: Readonly<Capacity>
  readonly #changes: CapacityChange[]
  readonly #reservations: Reservation[]
  #notBeforeMs = 0

  private constructor (free: Readonly<Capacity>, changes: CapacityChange[], reservations: Reservation[] = []) {
    this.#free = free
    this.#changes = changes
    this.#reservations = reservations
  }

  /** `fillerProcessors`: those that the worker has for fillers now. */
  static of ({ entry, processorsUsed, memoryUsedMb, acceleratorsUsed, runs }: WorkerRecord, fillerProcessors: number, remoteFactor: number, now: Instant): WorkerTimeline {
    const changes: CapacityChange[] = []
    for (const run of runs.values()) {
      const atMs = expectedRestMs(run, remoteFactor, now)
      const { shape } = run.task.step
      if (atMs !== Infinity) changes.push({ atMs, ...capacityOf(shape, 1, shape.isFiller && (run.reading ?? 0) > 0 ? run.reading : undefined) })
    }
    changes.sort(byTime)
    const free = { processors: entry.processors - processorsUsed, fillerProcessors, memoryMb: entry.memoryMb - memoryUsedMb, accelerators: entry.accelerators - acceleratorsUsed }
    return new WorkerTimeline(free, changes)
  }

  /** The expected start of a task after those reserved before, in milliseconds; infinite if it never fits. */
  startMs (shape: JobStep): number {
    const free = { ...this.#free }
    let next = 0
    for (; next < this.#changes.length; next++) {
      const change = this.#changes[next] as CapacityChange
      if (change.atMs > this.#notBeforeMs) break
      add(free, change)
    }
    if (fits(shape, free)) return this.#notBeforeMs
    for (; next < this.#changes.length; next++) {
      const change = this.#changes[next] as CapacityChange
      add(free, change)
      if (fits(shape, free)) return change.atMs
    }
    return Infinity
  }

  /** Records that a task is expected to start at a time returned by `startMs`. Tasks reserved later start no earlier. */
  reserve (shape: JobStep, atMs: number, durationMs: number): void {
    this.#changes.push({ atMs, ...capacityOf(shape, -1) }, { atMs: atMs + durationMs, ...capacityOf(shape, 1) })
    this.#changes.sort(byTime)
    this.#reservations.push({ shape, durationMs })
    this.#notBeforeMs = atMs
  }

  /** Reserves again what was reserved in an earlier timeline of the worker; what no longer fits is left out. */
  reserveAgain ({ reservations }: WorkerTimeline): void {
    for (const { shape, durationMs } of reservations) {
      const atMs = this.startMs(shape)
      if (atMs !== Infinity) this.reserve(shape, atMs, durationMs)
    }
  }

  /** The tasks that are expected to start on the worker, in this order. */
  get reservations (): readonly Reservation[] {
    return this.#reservations
  }

  /** A copy for plans that may not be carried out. */
  copy (): WorkerTimeline {
    const copy = new WorkerTimeline(this.#free, [...this.#changes], [...this.#reservations])
    copy.#notBeforeMs = this.#notBeforeMs
    return copy
  }
}

const byTime = (one: CapacityChange, other: CapacityChange): number => one.atMs - other.atMs

const capacityOf = ({ processors, memoryMb, accelerators, isFiller }: JobStep, sign: 1 | -1, used = processors): Capacity =>
  ({ processors: isFiller ? 0 : sign * processors, fillerProcessors: sign * Math.min(used, processors), memoryMb: sign * memoryMb, accelerators: sign * accelerators })

const add = (free: Capacity, change: CapacityChange): void => {
  free.processors += change.processors
  free.fillerProcessors += change.fillerProcessors
  free.memoryMb += change.memoryMb
  free.accelerators += change.accelerators
}

const fits = ({ processors, memoryMb, accelerators, isFiller }: JobStep, free: Capacity): boolean =>
  processors <= (isFiller ? free.fillerProcessors : free.processors) && memoryMb <= free.memoryMb && accelerators <= free.accelerators
