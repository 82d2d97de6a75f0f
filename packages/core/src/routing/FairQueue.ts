/**
 * A bounded queue with round-robin between callers, so that a burst from one does not starve the others.
 */
import type { CallerId } from '@auburnpin/common'
import { CALLER_MAX_SHARE } from './constants.ts'

/** Whether an item was queued, and which other item was removed to admit it. */
export type Admission<Item> =
  | Readonly<{ kind: 'queued', displaced?: Item }>
  | Readonly<{ kind: 'full' }>

/** First in, first out per caller; round-robin between callers. */
export class FairQueue<Item> {
  readonly #limit: number
  readonly #queues = new Map<CallerId, Item[]>()
  #length = 0

  constructor (limit: number) {
    this.#limit = limit
  }

  get length (): number {
    return this.#length
  }

  /** Upper bound on the items that would be served before a new one of this caller. */
  positionOf (caller: CallerId): number {
    const ownLength = this.#queues.get(caller)?.length ?? 0
    const callers = this.#queues.size + (ownLength === 0 ? 1 : 0)
    return Math.min(this.#length, ownLength * callers + callers - 1)
  }

  /**
   * Queues an item. When the queue is full, the newest item of the caller with the most items is removed.
   *
   * @example
   * const admission = queue.push(caller, request)
   * if (admission.kind === 'queued' && admission.displaced !== undefined) refuse(admission.displaced)
   */
  push (caller: CallerId, item: Item): Admission<Item> {
    const ownLength = this.#queues.get(caller)?.length ?? 0
    if (ownLength >= Math.max(1, this.#limit * CALLER_MAX_SHARE)) return { kind: 'full' }
    const displaced = this.#length >= this.#limit ? this.#displace(ownLength) : undefined
    if (this.#length >= this.#limit) return { kind: 'full' }
    const queue = this.#queues.get(caller)
    if (queue === undefined) this.#queues.set(caller, [item])
    else queue.push(item)
    this.#length++
    return displaced === undefined ? { kind: 'queued' } : { kind: 'queued', displaced }
  }

  /** Removes and returns the first item that passes `isServable`, by round-robin between callers. */
  take (isServable: (item: Item) => boolean): Item | undefined {
    for (const [caller, queue] of this.#queues) {
      const index = queue.findIndex(isServable)
      if (index < 0) continue
      const [item] = queue.splice(index, 1)
      this.#length--
      // Re-inserting the caller moves it to the end of the round.
      this.#queues.delete(caller)
      if (queue.length > 0) this.#queues.set(caller, queue)
      return item
    }
    return undefined
  }

  /** Removes an item that is not to be served any more. */
  remove (caller: CallerId, item: Item): void {
    const queue = this.#queues.get(caller)
    const index = queue?.indexOf(item) ?? -1
    if (queue === undefined || index < 0) return
    queue.splice(index, 1)
    this.#length--
    if (queue.length === 0) this.#queues.delete(caller)
  }

  #displace (ownLength: number): Item | undefined {
    let longest: Item[] = []
    for (const queue of this.#queues.values()) {
      if (queue.length > longest.length) longest = queue
    }
    if (longest.length <= ownLength + 1) return undefined
    this.#length--
    return longest.pop()
  }
}
