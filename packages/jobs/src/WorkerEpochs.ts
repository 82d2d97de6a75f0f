/**
 * The fencing epochs of the calls to each incarnation of a worker.
 */
import type { Epoch, Instant, WorkerId } from '@auburnpin/common'
import { MAX_ORDER_DELAY_MS } from '@auburnpin/core'
import type { UsedWorker } from './rows.ts'

type Identity = Pick<UsedWorker, 'id' | 'incarnation'>

/** `missingSince`: since when the worker isn't used any more, although calls to it may still be carried out. */
type Assigned = Readonly<{ incarnation: Identity['incarnation'], epoch: Epoch, missingSince?: Instant }>

/**
 * A call names a worker and not its incarnation, so one that got no response may be carried out by a later incarnation.
 * The calls to each incarnation therefore carry a higher epoch than those to the ones before: once it has received one of
 * them, it refuses all that were meant for an earlier one.
 *
 * @example
 * const term = epochs.areHigherNeeded(workers) ? { ...before, epoch: before.epoch + 1 } : before
 * // Once the term and its workers are durable:
 * epochs.assign(workers, term.epoch, now)
 * epochs.of(worker) // the epoch of its calls
 */
export class WorkerEpochs {
  readonly #assigned = new Map<WorkerId, Assigned>()

  /** Whether any of the workers is a later incarnation of one that has an epoch already. */
  areHigherNeeded (workers: readonly Identity[]): boolean {
    for (const { id, incarnation } of workers) {
      const assigned = this.#assigned.get(id)
      if (assigned !== undefined && assigned.incarnation !== incarnation) return true
    }
    return false
  }

  /** Gives each incarnation that has no epoch yet this one. A worker that is missing is forgotten once no call to it can be carried out. */
  assign (workers: readonly Identity[], epoch: Epoch, now: Instant): void {
    const used = new Set<WorkerId>()
    for (const { id, incarnation } of workers) {
      const assigned = this.#assigned.get(id)
      this.#assigned.set(id, { incarnation, epoch: assigned?.incarnation === incarnation ? assigned.epoch : epoch })
      used.add(id)
    }
    for (const [id, assigned] of this.#assigned) {
      const { missingSince = now } = assigned
      if (used.has(id)) continue
      if (now - missingSince > MAX_ORDER_DELAY_MS) this.#assigned.delete(id)
      else this.#assigned.set(id, { ...assigned, missingSince })
    }
  }

  /** The epoch of calls to an incarnation; `undefined` before it has one, and while it is missing. */
  of ({ id, incarnation }: Identity): Epoch | undefined {
    const assigned = this.#assigned.get(id)
    return assigned?.incarnation === incarnation && assigned.missingSince === undefined ? assigned.epoch : undefined
  }
}
