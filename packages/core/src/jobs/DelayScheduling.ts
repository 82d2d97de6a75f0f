/**
 * Delay scheduling: which steps wait for a place in a rack, and since when.
 */
import type { Instant } from '@auburnpin/common'
import type { DelayDecision, DelayObserver } from './DelayObserver.ts'
import { RackDemand } from './RackDemand.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { awayReason, PayingWait, type WaitPolicy } from './waitForPlace.ts'

/** State of a step with a preferred rack. */
type DelayState = {
  /** Since when tasks have waited although they could have started elsewhere. */
  since?: Instant
  /** Number of tasks that waited so in the last pass. */
  delayed: number
  hasStartedAway: boolean
}

/**
 * State of delay scheduling during one term: the steps whose tasks wait for a rack, kept only while they have tasks that
 * wait. The next owner begins anew, so that a takeover prolongs a wait at most once by what pays.
 *
 * @example
 * const delays = new DelayScheduling(1.5, new PayingWait(), observer)
 * delays.appliesTo(task)
 */
export class DelayScheduling {
  /** How many times as long a task takes away from its data, or if the tasks of its step are in several racks. */
  readonly remoteFactor: number
  readonly policy: WaitPolicy
  readonly #observer: DelayObserver | undefined
  /** Demand for the racks that hold data. */
  readonly demand = new RackDemand()
  readonly #states = new Map<StepRecord, DelayState>()

  /** With a factor of 1 or less no task waits, and tasks are placed as without delay scheduling. */
  constructor (remoteFactor = 1, policy: WaitPolicy = new PayingWait(), observer?: DelayObserver) {
    this.remoteFactor = remoteFactor
    this.policy = policy
    this.#observer = observer
  }

  /** Whether a task may wait for a rack. Long-running tasks have no duration, and suspects of a crash start where they can be told apart. */
  appliesTo ({ step: { shape }, crashes, isOnTrial }: TaskRecord): boolean {
    if (this.remoteFactor <= 1 || (shape.dataRack === '' && !shape.isOneRack)) return false
    return !shape.isLasting && shape.latencyTargetMs === 0 && crashes.count === 0 && !isOnTrial
  }

  /** Milliseconds for which a step has had tasks that wait for a rack. */
  waitedMs (step: StepRecord, now: Instant): number {
    return now - (this.#states.get(step)?.since ?? now)
  }

  /** Whether tasks of a step wait for a rack by choice, so that no worker elsewhere is to be held for them. */
  isDelayed (step: StepRecord): boolean {
    return (this.#states.get(step)?.delayed ?? 0) > 0
  }

  /** Whether tasks of a step were started elsewhere because no wait paid. */
  hasStartedAway (step: StepRecord): boolean {
    return this.#states.get(step)?.hasStartedAway === true
  }

  /** Number of tasks that wait for a rack although they could start elsewhere. */
  get delayedTasks (): number {
    let tasks = 0
    for (const [step, { delayed }] of this.#states) tasks += Math.min(delayed, step.waiting.size)
    return tasks
  }

  /** Forgets the steps that have no tasks that wait, and the racks that are no longer in demand. */
  startPass (now: Instant): void {
    this.demand.prune(now)
    for (const [step, state] of this.#states) {
      state.delayed = 0
      const { since } = state
      if (step.waiting.size > 0 && step.job.movedTo === undefined) continue
      this.#states.delete(step)
      if (since !== undefined) this.#observer?.delayEnded(step, now - since)
    }
  }

  /** Records a decision on the tasks of a step that don't fit into the rack now. */
  record (decision: DelayDecision, now: Instant): void {
    const { step, delayed, away, workers } = decision
    const state = this.#states.get(step) ?? { delayed: 0, hasStartedAway: false }
    this.#states.set(step, state)
    state.delayed = delayed
    if (delayed > 0 && state.since === undefined) {
      state.since = now
      this.#observer?.delayed(decision)
    }
    if (away > 0 && !state.hasStartedAway) {
      state.hasStartedAway = true
      this.#observer?.startedAway(decision, awayReason(decision, workers))
    }
  }
}
