/**
 * The fencing epochs of the calls to each incarnation of a worker.
 */
import type { Epoch, WorkerId } from '@auburnpin/common'
import type { UsedWorker } from './rows.ts'

type Identity = Pick<UsedWorker, 'id' | 'incarnation'>

/**
 * A call names a worker and not its incarnation, so one that got no response may be carried out by a later incarnation.
 * The calls to each incarnation therefore carry a higher epoch than those to the ones before: once it has received one of
 * them, it refuses all that were meant for an earlier one.
 *
 * @example
 * const term = epochs.areHigherNeeded(workers) ? { ...before, epoch: before.epoch + 1 } : before
 * // Once the term and its workers are durable:
 * epochs.assign(workers, term.epoch)
 * epochs.of(worker) // the epoch of its calls
 */
export class WorkerEpochs {
  #assigned: ReadonlyMap<WorkerId, Readonly<{ incarnation: Identity['incarnation'], epoch: Epoch }>> = new Map()

  /** Whether any of the workers is a later incarnation of one that has an epoch already. */
  areHigherNeeded (workers: readonly Identity[]): boolean {
    for (const { id, incarnation } of workers) {
      const assigned = this.#assigned.get(id)
      if (assigned !== undefined && assigned.incarnation !== incarnation) return true
    }
    return false
  }

  /** Gives each incarnation that has no epoch yet this one, and forgets the workers that are missing. */
  assign (workers: readonly Identity[], epoch: Epoch): void {
    this.#assigned = new Map(workers.map(({ id, incarnation }) => {
      const assigned = this.#assigned.get(id)
      return [id, assigned?.incarnation === incarnation ? assigned : { incarnation, epoch }]
    }))
  }

  /** The epoch of calls to an incarnation; `undefined` before it has one. */
  of ({ id, incarnation }: Identity): Epoch | undefined {
    const assigned = this.#assigned.get(id)
    return assigned?.incarnation === incarnation ? assigned.epoch : undefined
  }
}
