/**
 * The endpoints of one service whose slots this process hands out, with those that are taken.
 */
import type { EndpointId, Instant } from '@auburnpin/common'
import type { Endpoint } from '../cell/types.ts'
import { EndpointHealth } from './EndpointHealth.ts'
import type { EndpointReport, Route } from './types.ts'

/** Deals requests out to endpoints, never more than an endpoint has slots. */
export class EndpointPool {
  #endpoints: readonly Endpoint[] = []
  readonly #taken = new Map<EndpointId, number>()
  readonly #health = new EndpointHealth()

  /** Takes in the present endpoints; slots already taken stay taken. */
  update (endpoints: readonly Endpoint[]): void {
    this.#endpoints = endpoints
    this.#health.keepOnly(endpoints)
  }

  get endpoints (): readonly Endpoint[] {
    return this.#endpoints
  }

  /** Slots of all endpoints that are not leaving. */
  get slots (): number {
    return this.#endpoints.reduce((sum, endpoint) => sum + (endpoint.isLeaving ? 0 : endpoint.slots), 0)
  }

  /** Slots that could be taken now. */
  freeSlots (now: Instant): number {
    let free = 0
    for (const endpoint of this.#endpoints) free += Math.max(0, this.#health.allowedSlots(endpoint, now) - this.takenOn(endpoint.id))
    return free
  }

  /** Whether any slot could be taken now. */
  hasFree (now: Instant): boolean {
    return this.#endpoints.some(endpoint => this.#freeShare(endpoint, now) > 0)
  }

  /** Whether a session's endpoint takes new requests, now or once a slot is free. */
  isBindable (id: EndpointId, now: Instant): boolean {
    const endpoint = this.#endpoints.find(candidate => candidate.id === id)
    return endpoint !== undefined && this.#health.allowedSlots(endpoint, now) > 0
  }

  /**
   * Takes a slot on the session's endpoint, else on the one with the largest free share; `undefined` if all are taken.
   *
   * @example
   * const endpoint = pool.acquire({ tried: new Set() }, clock.now())
   */
  acquire (route: Route, now: Instant): Endpoint | undefined {
    const chosen = this.#choose(route, now)
    if (chosen !== undefined) this.#taken.set(chosen.id, this.takenOn(chosen.id) + 1)
    return chosen
  }

  /** Gives a slot back and takes in how the request ended. */
  release (id: EndpointId, report: EndpointReport, now: Instant): void {
    const taken = this.takenOn(id)
    if (taken <= 1) this.#taken.delete(id)
    else this.#taken.set(id, taken - 1)
    this.#health.report(id, report, this.#endpoints, now)
  }

  /** Slots taken on one endpoint. */
  takenOn (id: EndpointId): number {
    return this.#taken.get(id) ?? 0
  }

  #choose (route: Route, now: Instant): Endpoint | undefined {
    const { bound, tried } = route
    if (bound !== undefined && !tried.has(bound) && this.isBindable(bound, now)) {
      return this.#endpoints.find(endpoint => endpoint.id === bound && this.#freeShare(endpoint, now) > 0)
    }
    return this.#freest(now, endpoint => !tried.has(endpoint.id)) ?? this.#freest(now, endpoint => tried.has(endpoint.id))
  }

  #freest (now: Instant, isMeant: (endpoint: Endpoint) => boolean): Endpoint | undefined {
    let best: Endpoint | undefined
    let bestShare = 0
    for (const endpoint of this.#endpoints) {
      const share = isMeant(endpoint) ? this.#freeShare(endpoint, now) : 0
      if (share <= bestShare) continue
      best = endpoint
      bestShare = share
    }
    return best
  }

  #freeShare (endpoint: Endpoint, now: Instant): number {
    return (this.#health.allowedSlots(endpoint, now) - this.takenOn(endpoint.id)) / endpoint.slots
  }
}
