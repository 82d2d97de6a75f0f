/**
 * A bounded queue that serves callers in turn, so that the flood of one does not starve the others.
 */
import type { CallerId } from '@auburnpin/common'
import { CALLER_MAX_SHARE } from './constants.ts'

/** What became of an item that asked to be queued. */
export type Admission<Item> =
  | Readonly<{ kind: 'queued', displaced?: Item }>
  | Readonly<{ kind: 'full' }>

/** Items of each caller in the order they came, callers in turn. */
export class FairQueue<Item> {
  readonly #limit: number
  readonly #lines = new Map<CallerId, Item[]>()
  #length = 0

  constructor (limit: number) {
    this.#limit = limit
  }

  get length (): number {
    return this.#length
  }

  /** Items that would be served before a new one of this caller, at most. */
  positionOf (caller: CallerId): number {
    const own = this.#lines.get(caller)?.length ?? 0
    const callers = this.#lines.size + (own === 0 ? 1 : 0)
    return Math.min(this.#length, own * callers + callers - 1)
  }

  /**
   * Queues an item. When the queue is full, the newest item of the caller with most of them makes room.
   *
   * @example
   * const admission = queue.push(caller, request)
   * if (admission.kind === 'queued' && admission.displaced !== undefined) refuse(admission.displaced)
   */
  push (caller: CallerId, item: Item): Admission<Item> {
    const own = this.#lines.get(caller)?.length ?? 0
    if (own >= Math.max(1, this.#limit * CALLER_MAX_SHARE)) return { kind: 'full' }
    const displaced = this.#length >= this.#limit ? this.#displace(own) : undefined
    if (this.#length >= this.#limit) return { kind: 'full' }
    const line = this.#lines.get(caller)
    if (line === undefined) this.#lines.set(caller, [item])
    else line.push(item)
    this.#length++
    return displaced === undefined ? { kind: 'queued' } : { kind: 'queued', displaced }
  }

  /** Takes the first item that passes `isServable`, callers in turn. */
  take (isServable: (item: Item) => boolean): Item | undefined {
    for (const [caller, line] of this.#lines) {
      const index = line.findIndex(isServable)
      if (index < 0) continue
      const [item] = line.splice(index, 1)
      this.#length--
      // The caller goes to the end of the turn.
      this.#lines.delete(caller)
      if (line.length > 0) this.#lines.set(caller, line)
      return item
    }
    return undefined
  }

  /** Removes an item that waits no more. */
  remove (caller: CallerId, item: Item): void {
    const line = this.#lines.get(caller)
    const index = line?.indexOf(item) ?? -1
    if (line === undefined || index < 0) return
    line.splice(index, 1)
    this.#length--
    if (line.length === 0) this.#lines.delete(caller)
  }

  #displace (own: number): Item | undefined {
    let longest: Item[] = []
    for (const line of this.#lines.values()) {
      if (line.length > longest.length) longest = line
    }
    if (longest.length <= own + 1) return undefined
    this.#length--
    return longest.pop()
  }
}
