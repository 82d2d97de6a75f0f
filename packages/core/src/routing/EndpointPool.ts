/**
 * The endpoints of one service, with the slots that are taken on each.
 */
import type { EndpointId } from '@auburnpin/common'
import type { Endpoint } from '../cell/types.ts'

/** Deals requests out to endpoints, never more than an endpoint has slots. */
export class EndpointPool {
  #endpoints: readonly Endpoint[] = []
  readonly #taken = new Map<EndpointId, number>()

  /** Takes in the present endpoints; slots already taken stay taken. */
  update (endpoints: readonly Endpoint[]): void {
    this.#endpoints = endpoints
  }

  get endpoints (): readonly Endpoint[] {
    return this.#endpoints
  }

  /** Takes a slot on the endpoint with the largest free share, `undefined` if all are taken. */
  acquire (): Endpoint | undefined {
    let best: Endpoint | undefined
    let bestShare = 0
    for (const endpoint of this.#endpoints) {
      if (endpoint.isLeaving) continue
      const share = (endpoint.slots - this.takenOn(endpoint.id)) / endpoint.slots
      if (share <= bestShare) continue
      best = endpoint
      bestShare = share
    }
    if (best !== undefined) this.#taken.set(best.id, this.takenOn(best.id) + 1)
    return best
  }

  /** Gives a slot back. */
  release (id: EndpointId): void {
    const taken = this.takenOn(id)
    if (taken <= 1) this.#taken.delete(id)
    else this.#taken.set(id, taken - 1)
  }

  /** Slots taken on one endpoint. */
  takenOn (id: EndpointId): number {
    return this.#taken.get(id) ?? 0
  }
}
