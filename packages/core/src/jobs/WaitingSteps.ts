/**
 * How long steps wait for workers, and what was placed meanwhile.
 */
import type { Instant } from '@auburnpin/common'
import type { FillerInterference } from './FillerInterference.ts'
import { findObstacle, freeProcessors, type Obstacle } from './findObstacle.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import { reserveWorkers } from './reserveWorkers.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

export const STEP_KINDS = ['long-running', 'batch', 'filler'] as const

export type StepKind = typeof STEP_KINDS[number]

/** Number of tasks, and their processors in thousandths of a core. */
export type TaskAmount = Readonly<{ tasks: number, processors: number }>

export type TaskAmounts = Readonly<Record<StepKind, TaskAmount>>

/** A step with tasks that wait for a worker, and why. */
export type StepWait = Readonly<{
  step: StepRecord
  kind: StepKind
  waitedMs: number
  /** For each obstacle, the number of workers that it keeps the next task from. */
  obstacles: ReadonlyMap<Obstacle, number>
  /** Free processors of all workers that the next task may use, and of the one with the most, in thousandths of a core. */
  free: number
  largestFree: number
  /** What was placed since the step began to wait. */
  placedSince: TaskAmounts
}>

const NOTHING_PLACED: TaskAmounts = { 'long-running': { tasks: 0, processors: 0 }, batch: { tasks: 0, processors: 0 }, filler: { tasks: 0, processors: 0 } }

/** Obstacles that hold whatever else runs on the worker. */
const PERMANENT_OBSTACLES: ReadonlySet<Obstacle> = new Set<Obstacle>(['other-service', 'unavailable', 'label', 'too-small', 'reserved'])

/**
 * The kind of a step's tasks.
 *
 * @example
 * kindOf(step.shape) // 'batch'
 */
export const kindOf = ({ isLasting, isFiller }: JobStep): StepKind => isFiller ? 'filler' : isLasting ? 'long-running' : 'batch'

/**
 * Follows the waits of all open steps of a term.
 *
 * @example
 * waits.recordPlacement(task)
 * waits.observe(openSteps, now)
 * waits.longest('batch', 4, 2_000, workers, held, interference, now)[0]?.obstacles // Map { 'processors' => 29, 'label' => 4 }
 */
export class WaitingSteps {
  #placed = NOTHING_PLACED
  readonly #waits = new Map<StepRecord, Readonly<{ since: Instant, placedBefore: TaskAmounts }>>()

  recordPlacement ({ step: { shape } }: TaskRecord): void {
    const kind = kindOf(shape)
    const { tasks, processors } = this.#placed[kind]
    this.#placed = { ...this.#placed, [kind]: { tasks: tasks + 1, processors: processors + shape.processors } }
  }

  /** Notes which of the open steps have tasks that wait. */
  observe (openSteps: ReadonlySet<StepRecord>, now: Instant): void {
    for (const step of this.#waits.keys()) if (!openSteps.has(step) || step.waiting.size === 0) this.#waits.delete(step)
    for (const step of openSteps) {
      if (step.waiting.size > 0 && !this.#waits.has(step)) this.#waits.set(step, { since: now, placedBefore: this.#placed })
    }
  }

  /** Whether a step has had tasks that wait since a moment. */
  hasWaitedSince (step: StepRecord, moment: Instant): boolean {
    return (this.#waits.get(step)?.since ?? Infinity) <= moment
  }

  /** Milliseconds for which a step has had tasks that wait. */
  waitedMs (step: StepRecord, now: Instant): number {
    return now - (this.#waits.get(step)?.since ?? now)
  }

  /** Whether tasks that, on average, need fewer processors were placed since a step began to wait. */
  isPassedBySmaller (step: StepRecord): boolean {
    const wait = this.#waits.get(step)
    if (wait === undefined) return false
    const { 'long-running': longRunning, batch } = this.#placed
    const { 'long-running': longRunningBefore, batch: batchBefore } = wait.placedBefore
    const tasks = longRunning.tasks - longRunningBefore.tasks + batch.tasks - batchBefore.tasks
    const processors = longRunning.processors - longRunningBefore.processors + batch.processors - batchBefore.processors
    return processors < step.shape.processors * tasks
  }

  /** For each kind of task: how many wait, and the milliseconds of the longest wait. */
  totals (now: Instant): ReadonlyMap<StepKind, Readonly<{ tasks: number, longestMs: number }>> {
    const totals = new Map(STEP_KINDS.map(kind => [kind, { tasks: 0, longestMs: 0 }]))
    for (const [step, { since }] of this.#waits) {
      const total = totals.get(kindOf(step.shape))
      if (total === undefined) continue
      total.tasks += step.waiting.size
      total.longestMs = Math.max(total.longestMs, now - since)
    }
    return totals
  }

  /** The steps of a kind that have waited longest, at least `minWaitMs`, each with its reasons. */
  longest (kind: StepKind, limit: number, minWaitMs: number, workers: readonly WorkerRecord[], held: HeldWorkers, interference: FillerInterference, now: Instant): StepWait[] {
    const reserved = reserveWorkers(workers.filter(worker => worker.acceptsWork(now)))
    const waits = [...this.#waits].filter(([step, { since }]) => kindOf(step.shape) === kind && now - since >= minWaitMs)
    waits.sort(([, one], [, other]) => one.since - other.since)
    const described: StepWait[] = []
    for (const [step, { since, placedBefore }] of waits.slice(0, limit)) {
      const [task] = step.waiting
      if (task === undefined) continue
      described.push({ step, kind, waitedMs: now - since, ...describeWorkers(task, workers, reserved, held, interference, now), placedSince: difference(this.#placed, placedBefore) })
    }
    return described
  }
}

const describeWorkers = (task: TaskRecord, workers: readonly WorkerRecord[], reserved: ReadonlySet<WorkerRecord>, held: HeldWorkers, interference: FillerInterference, now: Instant): Pick<StepWait, 'obstacles' | 'free' | 'largestFree'> => {
  const obstacles = new Map<Obstacle, number>()
  let free = 0
  let largestFree = 0
  for (const worker of workers) {
    const obstacle = task.isNewServing && reserved.has(worker) ? 'reserved' : findObstacle(task, worker, held, interference, now)
    if (obstacle !== undefined) obstacles.set(obstacle, (obstacles.get(obstacle) ?? 0) + 1)
    if (obstacle !== undefined && PERMANENT_OBSTACLES.has(obstacle)) continue
    const freeHere = Math.max(0, freeProcessors(task.step, worker, interference, now))
    free += freeHere
    largestFree = Math.max(largestFree, freeHere)
  }
  return { obstacles, free: Math.round(free), largestFree: Math.round(largestFree) }
}

const difference = (later: TaskAmounts, earlier: TaskAmounts): TaskAmounts => {
  const subtract = (kind: StepKind): TaskAmount => ({ tasks: later[kind].tasks - earlier[kind].tasks, processors: later[kind].processors - earlier[kind].processors })
  return { 'long-running': subtract('long-running'), batch: subtract('batch'), filler: subtract('filler') }
}
