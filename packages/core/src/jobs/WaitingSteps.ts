/**
 * How long steps wait for workers, and what was placed meanwhile.
 */
import type { Instant } from '@auburnpin/common'
import type { FillerInterference } from './FillerInterference.ts'
import { findObstacles, type WorkerObstacles } from './findObstacles.ts'
import type { HeldWorkers } from './HeldWorkers.ts'
import { IdleJobs } from './IdleJobs.ts'
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
  /** What keeps the next task from the workers. */
  obstacles: WorkerObstacles
  /** What was placed since the step began to wait. */
  placedSince: TaskAmounts
}>

const NOTHING_PLACED: TaskAmounts = { 'long-running': { tasks: 0, processors: 0 }, batch: { tasks: 0, processors: 0 }, filler: { tasks: 0, processors: 0 } }

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
 * waits.longest('batch', 4, 2_000, workers, held, interference, now)[0]?.obstacles.counts // Map { 'processors' => 29, 'label' => 4 }
 */
export class WaitingSteps {
  /** Jobs with tasks that wait and no run, as of the last scheduling pass. */
  readonly idleJobs = new IdleJobs()
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

  /** The open steps with tasks that wait, as of the last scheduling pass. */
  get steps (): Iterable<StepRecord> {
    return this.#waits.keys()
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
  longest (kind: StepKind, limit: number, minWaitMs: number, workers: readonly WorkerRecord[], held: HeldWorkers, interference: FillerInterference, now: Instant, added?: ReadonlySet<WorkerRecord>): StepWait[] {
    const waits = [...this.#waits].filter(([step, { since }]) => kindOf(step.shape) === kind && now - since >= minWaitMs)
    waits.sort(([, one], [, other]) => one.since - other.since)
    const described: StepWait[] = []
    for (const [step, { since, placedBefore }] of waits.slice(0, limit)) {
      const [task] = step.waiting
      if (task === undefined) continue
      described.push({ step, kind, waitedMs: now - since, obstacles: findObstacles(task, workers, held, interference, now, added), placedSince: difference(this.#placed, placedBefore) })
    }
    return described
  }
}

const difference = (later: TaskAmounts, earlier: TaskAmounts): TaskAmounts => {
  const subtract = (kind: StepKind): TaskAmount => ({ tasks: later[kind].tasks - earlier[kind].tasks, processors: later[kind].processors - earlier[kind].processors })
  return { 'long-running': subtract('long-running'), batch: subtract('batch'), filler: subtract('filler') }
}
