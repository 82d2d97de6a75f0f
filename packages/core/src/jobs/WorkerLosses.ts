/**
 * Workers that were lost, and the runs that may have crashed them.
 */
import type { Instant, WorkerId } from '@auburnpin/common'
import { LISTED_ALIVE_MS, LOSS_MEMORY_MS, LOST_TOGETHER_MS } from './constants.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import type { WorkerIncarnation } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** A run that may have crashed its worker. */
export type Suspect = Pick<RunRecord, 'task' | 'attempt'>

/** `isObserved`: this owner has seen the loss, and has not read of it in the store. */
type WorkerLoss = Readonly<{ worker: WorkerIncarnation, at: Instant, suspects: Suspect[], isObserved: boolean }>

/**
 * Remembers the recent losses of workers. A worker that was only out of reach reports again in the same incarnation, or
 * stays in the list of workers, and its loss was none.
 *
 * @example
 * losses.add(worker.entry, [run], now)
 * for (const { task, attempt } of losses.withdraw(worker.entry)) task.crashes.withdraw(attempt)
 */
export class WorkerLosses {
  /** By incarnation, in the order of their times. */
  readonly #losses = new Map<string, WorkerLoss>()

  /** Forgets the losses that are too old to be compared with new ones. */
  forgetOld (now: Instant): void {
    for (const [key, { at }] of this.#losses) if (now - at >= LOSS_MEMORY_MS) this.#losses.delete(key)
  }

  /** Records the loss of an incarnation, or further runs that were lost with it. */
  add (worker: WorkerIncarnation, suspects: readonly Suspect[], now: Instant): void {
    this.#add(worker, suspects, now, true)
  }

  /** An earlier owner stored that the worker might be lost with this run. Unless it turns out to be alive, it was. */
  restore (worker: WorkerIncarnation, suspect: Suspect, now: Instant): void {
    this.#add(worker, [suspect], now, false)
  }

  #add (worker: WorkerIncarnation, suspects: readonly Suspect[], now: Instant, isObserved: boolean): void {
    const key = keyOf(worker)
    const loss = this.#losses.get(key)
    if (loss === undefined) this.#losses.set(key, { worker, at: now, suspects: [...suspects], isObserved })
    else if (loss.isObserved || !isObserved) loss.suspects.push(...suspects)
    else {
      this.#losses.delete(key)
      this.#losses.set(key, { worker, at: now, suspects: [...loss.suspects, ...suspects], isObserved })
    }
  }

  /** The worker is alive: forgets the loss and returns the runs that can't have caused it. */
  withdraw (worker: WorkerIncarnation): readonly Suspect[] {
    const loss = this.#losses.get(keyOf(worker))
    this.#losses.delete(keyOf(worker))
    return loss?.suspects ?? []
  }

  /** Forgets the losses of all workers that are still listed so long afterwards that they must be alive, and returns their runs. */
  withdrawListed (workers: ReadonlyMap<WorkerId, WorkerRecord>, now: Instant): readonly Suspect[] {
    const cleared: Suspect[] = []
    for (const { worker, at } of this.#losses.values()) {
      if (now - at >= LISTED_ALIVE_MS && isListed(worker, workers)) cleared.push(...this.withdraw(worker))
    }
    return cleared
  }

  /** Whether a worker that counts as lost because of the task may still turn out to be alive. */
  isUncertain (task: TaskRecord, workers: ReadonlyMap<WorkerId, WorkerRecord>): boolean {
    for (const loss of this.#losses.values()) if (concerns(loss, task) && isListed(loss.worker, workers)) return true
    return false
  }

  /** Whether no other worker was lost at about the same time as the last one under the task, so that the task is the likely cause. */
  wasLastAlone (task: TaskRecord, now: Instant): boolean {
    const losses = [...this.#losses.values()].filter(({ isObserved }) => isObserved)
    const last = losses.filter(loss => concerns(loss, task)).at(-1)
    // Others of the same time may be forgotten already.
    if (last === undefined || now - last.at >= LOSS_MEMORY_MS - LOST_TOGETHER_MS) return false
    return losses.every(loss => concerns(loss, task) || Math.abs(loss.at - last.at) >= LOST_TOGETHER_MS)
  }
}

const keyOf = ({ id, incarnation }: WorkerIncarnation): string => `${id}#${incarnation}`

const concerns = ({ suspects }: WorkerLoss, task: TaskRecord): boolean => suspects.some(run => run.task === task)

const isListed = ({ id, incarnation }: WorkerIncarnation, workers: ReadonlyMap<WorkerId, WorkerRecord>): boolean => {
  const worker = workers.get(id)
  return worker?.isListed === true && worker.entry.incarnation === incarnation
}
