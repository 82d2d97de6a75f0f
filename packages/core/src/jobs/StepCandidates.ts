/**
 * Workers for the tasks of one step during one scheduling pass.
 */
import type { Instant } from '@auburnpin/common'
import { chooseWorker, scoreTask } from './chooseWorker.ts'
import type { FillerInterference } from './FillerInterference.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * The tasks of a step differ only by what has happened to them, so those that have never run share the scores of the
 * workers. A score stays valid until a run is added to its worker. Designed for bursts of steps with tens of tasks, for
 * which scoring all workers anew for each task took most of a pass.
 *
 * @example
 * const candidates = new StepCandidates(workers, held, interference, now, false)
 * for (const task of step.waiting) start(task, candidates.choose(task))
 */
export class StepCandidates {
  readonly workers: readonly WorkerRecord[]
  readonly #held: HeldWorkers
  readonly #interference: FillerInterference
  readonly #now: Instant
  /** Whether the tasks go where they leave the smallest piece. */
  readonly isPacked: boolean
  readonly #scores: number[] = []
  /** For each score, the number of runs on the worker when it was computed. */
  readonly #runCounts: number[] = []

  constructor (workers: readonly WorkerRecord[], held: HeldWorkers, interference: FillerInterference, now: Instant, isPacked: boolean) {
    this.workers = workers
    this.#held = held
    this.#interference = interference
    this.#now = now
    this.isPacked = isPacked
  }

  /** The best worker for a task of the step; `undefined` if it can't start on any. */
  choose (task: TaskRecord): WorkerRecord | undefined {
    if (!isLikeOthers(task)) return chooseWorker(task, this.workers, this.#held, this.#interference, this.#now, this.isPacked)
    let best: WorkerRecord | undefined
    let bestScore = -Infinity
    for (const [index, worker] of this.workers.entries()) {
      if (this.#runCounts[index] !== worker.runs.size) {
        this.#scores[index] = scoreTask(task, worker, this.#held, this.#interference, this.#now, this.isPacked)
        this.#runCounts[index] = worker.runs.size
      }
      const score = this.#scores[index] ?? -Infinity
      if (score > bestScore) {
        best = worker
        bestScore = score
      }
    }
    return best
  }
}

// What has happened to a task may rule out workers or change their scores.
const isLikeOthers = (task: TaskRecord): boolean =>
  !task.hasRun && task.runs.length === 0 && task.failedOn.size === 0 && (task.recordedCrashes?.count ?? 0) === 0 && task.recordedCrashes?.areUncertain !== true
