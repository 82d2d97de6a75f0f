/**
 * Orders to start that got no answer and may still be carried out.
 */
import { brand, type Attempt, type Instant, type WorkerId } from '@auburnpin/common'
import { MAX_LASTING_HOLD_MS, MAX_ORDER_DELAY_MS, MAX_START_REPEATS } from './constants.ts'
import type { JobSchedulerObserver } from './JobSchedulerObserver.ts'
import { startOrder } from './startOrder.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import type { RunOrder } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** An order without an answer, and the incarnation of the worker that it was meant for. */
type LateStart = {
  readonly worker: WorkerRecord
  readonly attempt: Attempt
  sentAt: Instant
  /** How often the order was sent again. */
  repeats: number
  /** Whether the task may have run before, so that users wait for its next run. */
  readonly isRestart: boolean
}

/**
 * An order without an answer may be carried out seconds later, also by the next incarnation of its worker before that has had
 * a call of its own. The same incarnation is sent the order again, as it starts a run only once. When the run has ended,
 * its task starts nowhere until the first order can't be carried out any more: the worker is reborn and refuses it, or the
 * longest delay of an order is over. A long-running task that has run waits no longer than its users allow.
 *
 * @example
 * lateStarts.record(run)
 * if (!lateStarts.holdBack(task)) step.queue(task)
 * for (const task of lateStarts.release(workers, now)) step.queue(task)
 */
export class LateStarts {
  readonly #observer: JobSchedulerObserver
  readonly #starts = new Map<TaskRecord, LateStart>()
  /** Tasks that are not queued until their order can't be carried out any more; `release` looks at each of them. */
  readonly #heldBack = new Set<TaskRecord>()
  /** Runs whose order is to be sent again. */
  readonly #toRepeat = new Set<RunRecord>()

  constructor (observer: JobSchedulerObserver) {
    this.#observer = observer
  }

  /** The order to start a run got no answer. Copies of a speculative task may run beside one another anyway. */
  record ({ task, sentTo: worker, attempt, sentAt }: RunRecord): void {
    if (sentAt === undefined || worker === undefined || task.step.shape.isSpeculative) return
    const start = this.#starts.get(task)
    if (start !== undefined && start.attempt === attempt && start.worker === worker) start.sentAt = sentAt
    else this.#starts.set(task, { worker, attempt, sentAt, repeats: 0, isRestart: task.hasRun })
  }

  /** Whether an order to start the task may still be carried out. */
  has (task: TaskRecord): boolean {
    return this.#starts.has(task)
  }

  /** A worker lists an attempt. If its order was sent once, it can't be carried out later. */
  carriedOut (task: TaskRecord, attempt: Attempt): void {
    const start = this.#starts.get(task)
    if (start?.attempt === attempt && start.repeats === 0) this.#starts.delete(task)
  }

  /** A report doesn't list a run whose order got no answer. Returns whether the order is sent again. */
  repeat (run: RunRecord): boolean {
    const start = this.#starts.get(run.task)
    if (start?.attempt !== run.attempt || start.worker !== run.worker || start.repeats >= MAX_START_REPEATS) return false
    if (run.isStopRequested || !mayStartHere(run.worker)) return false
    start.repeats++
    this.#toRepeat.add(run)
    return true
  }

  /** The orders to send again now. */
  takeRepeats (now: Instant): readonly RunOrder[] {
    const orders: RunOrder[] = []
    for (const run of this.#toRepeat) {
      if (run.isStopRequested || run.state !== 'unconfirmed') continue
      run.state = 'ordered'
      run.since = now
      orders.push(startOrder(run))
    }
    this.#toRepeat.clear()
    return orders
  }

  /** A run of the task has ended. Returns whether the task must wait before it starts again. */
  holdBack (task: TaskRecord): boolean {
    const start = this.#starts.get(task)
    if (start === undefined) return false
    this.#heldBack.add(task)
    this.#observer.taskHeldBack(task, start.worker.entry.id, start.attempt)
    return true
  }

  /** Whether the task isn't queued as its order may still be carried out. */
  isHeldBack (task: TaskRecord): boolean {
    return this.#heldBack.has(task)
  }

  /**
   * From when on the end of a run may be acknowledged; `undefined` for at once. Until then the order may start the task again
   * in the next incarnation, which does no harm as long as nobody relies on the end.
   */
  acknowledgeableFrom (task: TaskRecord, worker: WorkerRecord): Instant | undefined {
    const start = this.#starts.get(task)
    return start?.worker === worker ? brand<Instant>(start.sentAt + MAX_ORDER_DELAY_MS) : undefined
  }

  /** The tasks that may start again from now on, for whatever reason their orders have ceased to count. */
  release (workers: ReadonlyMap<WorkerId, WorkerRecord>, now: Instant): readonly TaskRecord[] {
    for (const [task, start] of this.#starts) {
      const isOver = now - start.sentAt >= MAX_ORDER_DELAY_MS || isRefused(start, workers.get(start.worker.entry.id))
      if (isOver) this.#starts.delete(task)
    }
    const released: TaskRecord[] = []
    for (const task of this.#heldBack) {
      const start = this.#starts.get(task)
      if (start !== undefined && !hasWaitedLong(task, start, now)) continue
      this.#heldBack.delete(task)
      released.push(task)
    }
    return released
  }
}

// Its capacity is taken already, so that nothing else counts.
const mayStartHere = ({ isListed, isLeasable, evacuation, entry: { isDraining } }: WorkerRecord): boolean =>
  isListed && isLeasable && evacuation !== 'evacuated' && !isDraining

// A later incarnation refuses the order once it has answered a call of its own.
const isRefused = ({ worker }: LateStart, current: WorkerRecord | undefined): boolean =>
  current !== undefined && current.entry.incarnation > worker.entry.incarnation && current.hasReported && current.refusesEarlierCalls

const hasWaitedLong = ({ step: { shape } }: TaskRecord, { worker, sentAt, isRestart }: LateStart, now: Instant): boolean =>
  shape.isLasting && isRestart && now - sentAt >= MAX_LASTING_HOLD_MS && (!worker.isUnresponsive || worker.clockAgeMs(now) >= MAX_LASTING_HOLD_MS)
