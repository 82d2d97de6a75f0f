/**
 * Workers that were lost, and the runs that may have crashed them.
 */
import type { Incarnation, Instant, WorkerId } from '@auburnpin/common'
import { LISTED_ALIVE_MS, LOSS_MEMORY_MS, LOST_TOGETHER_MS } from './constants.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

type IncarnationName = Readonly<{ id: WorkerId, incarnation: Incarnation }>

type WorkerLoss = Readonly<{ worker: IncarnationName, at: Instant, suspects: RunRecord[] }>

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
  add (worker: IncarnationName, suspects: readonly RunRecord[], now: Instant): void {
    const loss = this.#losses.get(keyOf(worker))
    if (loss === undefined) this.#losses.set(keyOf(worker), { worker, at: now, suspects: [...suspects] })
    else loss.suspects.push(...suspects)
  }

  /** The worker is alive: forgets the loss and returns the runs that can't have caused it. */
  withdraw (worker: IncarnationName): readonly RunRecord[] {
    const loss = this.#losses.get(keyOf(worker))
    this.#losses.delete(keyOf(worker))
    return loss?.suspects ?? []
  }

  /** Forgets the losses of all workers that are still listed so long afterwards that they must be alive, and returns their runs. */
  withdrawListed (workers: ReadonlyMap<WorkerId, WorkerRecord>, now: Instant): readonly RunRecord[] {
    const cleared: RunRecord[] = []
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
    const losses = [...this.#losses.values()]
    const last = losses.filter(loss => concerns(loss, task)).at(-1)
    // Others of the same time may be forgotten already.
    if (last === undefined || now - last.at >= LOSS_MEMORY_MS - LOST_TOGETHER_MS) return false
    return losses.every(loss => concerns(loss, task) || Math.abs(loss.at - last.at) >= LOST_TOGETHER_MS)
  }
}

const keyOf = ({ id, incarnation }: IncarnationName): string => `${id}#${incarnation}`

const concerns = ({ suspects }: WorkerLoss, task: TaskRecord): boolean => suspects.some(run => run.task === task)

const isListed = ({ id, incarnation }: IncarnationName, workers: ReadonlyMap<WorkerId, WorkerRecord>): boolean => {
  const worker = workers.get(id)
  return worker?.isListed === true && worker.entry.incarnation === incarnation
}
