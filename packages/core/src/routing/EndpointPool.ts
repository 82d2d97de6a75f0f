/**
 * The endpoints of one service that this gateway owns, and the slots in use on each.
 */
import type { EndpointId, Instant } from '@auburnpin/common'
import type { Endpoint } from '../cell/types.ts'
import { EndpointHealth } from './EndpointHealth.ts'
import type { RequestOutcome, RouteConstraints } from './types.ts'

/** Distributes requests over endpoints, never more at a time than an endpoint has slots. */
export class EndpointPool {
  #endpoints: readonly Endpoint[] = []
  readonly #slotsInUse = new Map<EndpointId, number>()
  readonly #health = new EndpointHealth()

  /** Replaces the list of endpoints; slots in use stay in use. */
  update (endpoints: readonly Endpoint[]): void {
    this.#endpoints = endpoints
    this.#health.retainOnly(endpoints)
  }

  get endpoints (): readonly Endpoint[] {
    return this.#endpoints
  }

  /** Slots of all endpoints that are not leaving. */
  get slots (): number {
    return this.#endpoints.reduce((sum, endpoint) => sum + (endpoint.isLeaving ? 0 : endpoint.slots), 0)
  }

  /** Number of slots that can be acquired now. */
  freeSlots (now: Instant): number {
    let free = 0
    for (const endpoint of this.#endpoints) free += Math.max(0, this.#health.allowedSlots(endpoint, now) - this.slotsInUse(endpoint.id))
    return free
  }

  /** Whether any slot can be acquired now. */
  hasFreeSlot (now: Instant): boolean {
    return this.#endpoints.some(endpoint => this.#freeShare(endpoint, now) > 0)
  }

  /** Whether a session's endpoint accepts new requests, now or once a slot is free. */
  isAccepting (id: EndpointId, now: Instant): boolean {
    const endpoint = this.#endpoints.find(candidate => candidate.id === id)
    return endpoint !== undefined && this.#health.allowedSlots(endpoint, now) > 0
  }

  /**
   * Acquires a slot on the session's endpoint while that accepts requests, else on the endpoint with the largest share
   * of free slots; `undefined` if there is no free slot.
   *
   * @example
   * const endpoint = pool.acquire({ tried: new Set() }, clock.now())
   */
  acquire (route: RouteConstraints, now: Instant): Endpoint | undefined {
    const chosen = this.#choose(route, now)
    if (chosen !== undefined) this.#slotsInUse.set(chosen.id, this.slotsInUse(chosen.id) + 1)
    return chosen
  }

  /** Releases a slot and records the outcome of its request. */
  release (id: EndpointId, outcome: RequestOutcome, now: Instant): void {
    const inUse = this.slotsInUse(id)
    if (inUse <= 1) this.#slotsInUse.delete(id)
    else this.#slotsInUse.set(id, inUse - 1)
    this.#health.record(id, outcome, this.#endpoints, now)
  }

  /** Number of slots in use on an endpoint. */
  slotsInUse (id: EndpointId): number {
    return this.#slotsInUse.get(id) ?? 0
  }

  #choose (route: RouteConstraints, now: Instant): Endpoint | undefined {
    const { bound, tried } = route
    if (bound !== undefined && !tried.has(bound) && this.isAccepting(bound, now)) {
      return this.#endpoints.find(endpoint => endpoint.id === bound && this.#freeShare(endpoint, now) > 0)
    }
    const isSound = ({ id }: Endpoint): boolean => !tried.has(id) && !this.#health.hasFailedRecently(id, now)
    return this.#leastLoaded(now, isSound) ?? this.#leastLoaded(now, endpoint => !tried.has(endpoint.id)) ?? this.#leastLoaded(now, endpoint => tried.has(endpoint.id))
  }

  #leastLoaded (now: Instant, isCandidate: (endpoint: Endpoint) => boolean): Endpoint | undefined {
    let best: Endpoint | undefined
    let bestShare = 0
    for (const endpoint of this.#endpoints) {
      const share = isCandidate(endpoint) ? this.#freeShare(endpoint, now) : 0
      if (share <= bestShare) continue
      best = endpoint
      bestShare = share
    }
    return best
  }

  #freeShare (endpoint: Endpoint, now: Instant): number {
    return (this.#health.allowedSlots(endpoint, now) - this.slotsInUse(endpoint.id)) / endpoint.slots
  }
}
