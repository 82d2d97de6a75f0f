/**
 * Progress that has changed since it was last stored.
 */
import type { JobRecord } from './JobRecord.ts'
import type { ProgressSegment } from './ProgressSegment.ts'
import type { TaskRecord } from './TaskRecord.ts'

/**
 * The segments that must be stored, in the order in which they changed.
 *
 * @example
 * progress.addTask(task)
 * const segments = progress.take(90)
 */
export class UnstoredProgress {
  #segments = new Set<ProgressSegment>()

  get size (): number {
    return this.#segments.size
  }

  /** The phase of a job, or the cell that it moves to, has changed. */
  addJob (job: JobRecord): void {
    this.#segments.add(job.firstSegment)
    if (!job.isFinal && job.movedTo === undefined) return
    for (const segment of job.segments()) if (!segment.isFirst) this.#segments.delete(segment)
  }

  /** The progress of a task has changed; that of a job that has ended isn't stored any more. */
  addTask ({ step: { job }, ordinal }: TaskRecord): void {
    if (!job.isFinal) this.#segments.add(job.segmentOf(ordinal))
  }

  /** All of a job's progress is to be stored anew. Its first segment comes last, as its row holds all of it until then. */
  addAll (job: JobRecord): void {
    for (const occurrence of job.knownOccurrences()) {
      const first = occurrence * job.tasksPerOccurrence
      for (let ordinal = first; ordinal < first + job.tasksPerOccurrence; ordinal++) {
        const segment = job.segmentOf(ordinal)
        if (!segment.isFirst) this.#segments.add(segment)
      }
    }
    this.#segments.add(job.firstSegment)
  }

  /** Whether what readers know of a job that has ended is still to be stored. */
  has (job: JobRecord): boolean {
    return this.#segments.has(job.firstSegment)
  }

  /** Forgets a job. */
  remove (job: JobRecord): void {
    for (const segment of job.segments()) this.#segments.delete(segment)
  }

  /** Takes at most `limit` segments, which are about to be stored. */
  take (limit: number): readonly ProgressSegment[] {
    const taken: ProgressSegment[] = []
    for (const segment of this.#segments) {
      if (taken.length >= limit) break
      taken.push(segment)
      segment.startStoring()
      this.#segments.delete(segment)
    }
    return taken
  }

  /** Puts back segments that could not be stored; they come first again. */
  putBack (segments: readonly ProgressSegment[]): void {
    this.#segments = new Set([...segments.filter(({ isFirst, job }) => isFirst || !job.isFinal), ...this.#segments])
  }
}
