/**
 * Forecast of when tasks can start in a rack.
 */
import { MAX_PLACING_PRESSURE } from './constants.ts'
import { expectedRunMs } from './expectedEnd.ts'
import { addedPressure, findFixedObstacle } from './findObstacle.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'
import { WorkerTimeline } from './WorkerTimeline.ts'

/** Expected starts of tasks of a step in one rack. */
export type RackPlan = Readonly<{
  /** Milliseconds until each task starts, in ascending order; those that would start later than asked for are left out. */
  startsMs: readonly number[]
  /** The step, and the worker of each of these tasks. */
  step: StepRecord
  workers: readonly WorkerRecord[]
}>

/** `runs`: number of runs when the timeline was created; within a pass, runs are only added. */
type KnownTimeline = Readonly<{ timeline: WorkerTimeline, runs: number }>

/**
 * Forecasts, within one scheduling pass, when tasks can start on some workers: from the expected ends of what runs there
 * and from the tasks that were planned before. Each task that is planned delays the next one, so that under contention
 * for a rack the expected wait grows until it does not pay. Designed for racks of 12 to 20 workers.
 *
 * @example
 * const plan = forecast.plan(step, 10, workers, 850)
 * if (plan.startsMs.length === 10) forecast.commit(plan)
 */
export class RackForecast {
  readonly #context: PlacingContext
  readonly #timelines = new Map<WorkerRecord, KnownTimeline>()

  constructor (context: PlacingContext) {
    this.#context = context
  }

  /** Plans up to `count` tasks of a step on some workers, none with an expected wait above `longestWaitMs`. */
  plan (step: StepRecord, count: number, workers: readonly WorkerRecord[], longestWaitMs: number): RackPlan {
    const startsMs: number[] = []
    const chosen: WorkerRecord[] = []
    const timelines = new Map<WorkerRecord, WorkerTimeline>()
    const [task] = step.waiting
    if (task === undefined || longestWaitMs < 0) return { startsMs, step, workers: chosen }
    const durationMs = expectedRunMs(step)
    const { maxPerWorker } = step.shape
    const eligible = workers.filter(worker => this.#mayAccept(task, worker)).map(worker => ({ worker, startMs: this.#timelineOf(worker).startMs(step.shape), left: maxPerWorker === 0 ? Infinity : maxPerWorker - runsOfStep(step, worker) }))
    while (startsMs.length < count) {
      let first: typeof eligible[number] | undefined
      for (const one of eligible) if (one.left > 0 && one.startMs < (first?.startMs ?? Infinity)) first = one
      if (first === undefined || first.startMs > longestWaitMs) break
      startsMs.push(first.startMs)
      chosen.push(first.worker)
      const timeline = timelines.get(first.worker) ?? this.#timelineOf(first.worker).copy()
      timelines.set(first.worker, timeline)
      timeline.reserve(step.shape, first.startMs, durationMs)
      first.startMs = timeline.startMs(step.shape)
      first.left--
    }
    return { startsMs, step, workers: chosen }
  }

  /** Keeps the planned tasks that wait in the forecast for all tasks that come after them; those that start now are runs soon. */
  commit ({ startsMs, step, workers }: RackPlan): void {
    for (const [index, worker] of workers.entries()) {
      const startMs = startsMs[index] ?? 0
      if (startMs > 0) this.#timelineOf(worker).reserve(step.shape, startMs, expectedRunMs(step))
    }
  }

  #timelineOf (worker: WorkerRecord): WorkerTimeline {
    const known = this.#timelines.get(worker)
    if (known?.runs === worker.runs.size) return known.timeline
    const { delays, interference, now } = this.#context
    const timeline = WorkerTimeline.of(worker, interference.capacity.free(worker, now), delays.remoteFactor, now)
    if (known !== undefined) timeline.reserveAgain(known.timeline)
    this.#timelines.set(worker, { timeline, runs: worker.runs.size })
    return timeline
  }

  // What keeps the task away for reasons other than the runs there may last for any time.
  #mayAccept (task: TaskRecord, worker: WorkerRecord): boolean {
    const { held, interference, now } = this.#context
    if (findFixedObstacle(task, worker, now) !== undefined || worker.hasTrial || task.failedOn.has(worker) || !held.accepts(task, worker)) return false
    if (!task.step.shape.isFiller) return true
    return !worker.pacing.isRecovering(now) && worker.processorsUsed <= worker.entry.processors && addedPressure(task.step, worker, interference, now) <= MAX_PLACING_PRESSURE
  }
}

const runsOfStep = (step: StepRecord, worker: WorkerRecord): number => {
  let count = 0
  for (const { task } of worker.runs.values()) if (task.step === step) count++
  return count
}
