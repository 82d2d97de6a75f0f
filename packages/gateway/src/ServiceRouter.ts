/**
 * Grants the slots of one service's endpoints that this gateway owns, and queues requests while none is free.
 */
import { AuburnpinError, Err, Ok, type CallerId, type Clock, type EndpointId, type Instant, type Result, type Timer } from '@auburnpin/common'
import { EndpointPool, FairQueue, RetryBudget, type Endpoint, type RequestOutcome, type RouteConstraints } from '@auburnpin/core'
import { SLOT_HOLD_EWMA_WEIGHT, POOL_CHECK_INTERVAL_MS, RETRY_AFTER_MAX_SECONDS, RETRY_AFTER_SECONDS } from './constants.ts'
import type { RequestFault } from './types.ts'

/** A slot that is held until it is released. */
export type Slot = Readonly<{ endpoint: Endpoint, since: Instant }>

type WaitingRequest = Readonly<{ caller: CallerId, route: RouteConstraints, settle: (result: Result<Slot, RequestFault>) => void }>

/** Serves callers in turn; rejects a request at once if it can't be served in time. */
export class ServiceRouter {
  readonly #clock: Clock
  readonly #pool = new EndpointPool()
  readonly #queue: FairQueue<WaitingRequest>
  readonly retries = new RetryBudget()
  #meanSlotHoldMs = 0
  #recheckTimer: Timer | undefined

  constructor (clock: Clock, maxQueued: number) {
    this.#clock = clock
    this.#queue = new FairQueue(maxQueued)
  }

  /** Replaces the set of endpoints that this gateway owns. */
  update (endpoints: readonly Endpoint[]): void {
    this.#pool.update(endpoints)
    this.#serveQueue()
  }

  get endpoints (): readonly Endpoint[] {
    return this.#pool.endpoints
  }

  /** Free slots minus waiting requests, as a fraction of all slots; `-Infinity` without slots. */
  get spareShare (): number {
    const { slots } = this.#pool
    if (slots === 0) return -Infinity
    const spare = this.#queue.length > 0 ? -this.#queue.length : this.#pool.freeSlots(this.#clock.now())
    return spare / slots
  }

  get queued (): number {
    return this.#queue.length
  }

  /** Acquires a slot if one is free and no request waits. */
  tryAcquire (route: RouteConstraints): Slot | undefined {
    if (this.#queue.length > 0) return undefined
    const now = this.#clock.now()
    const endpoint = this.#pool.acquire(route, now)
    return endpoint === undefined ? undefined : { endpoint, since: now }
  }

  /** Waits for a slot. A request that is not expected to get one within `waitMs` is rejected at once. */
  acquire (caller: CallerId, route: RouteConstraints, waitMs: number): Promise<Result<Slot, RequestFault>> {
    const slot = this.tryAcquire(route)
    if (slot !== undefined) return Promise.resolve(Ok(slot))
    const expectedMs = this.#expectedWaitMs(caller)
    if (waitMs <= 0 || expectedMs > waitMs) return Promise.resolve(Err(overloaded(expectedMs)))
    return new Promise(resolve => {
      const timer = this.#clock.after(waitMs, () => {
        this.#queue.remove(caller, waiting)
        resolve(Err(overloaded(this.#expectedWaitMs(caller))))
      })
      const settle = (result: Result<Slot, RequestFault>): void => {
        timer.cancel()
        resolve(result)
      }
      const waiting: WaitingRequest = { caller, route, settle }
      this.#enqueue(waiting)
    })
  }

  /** Releases a slot; `outcome` is that of the request that held it. */
  release (slot: Slot, outcome: RequestOutcome): void {
    const now = this.#clock.now()
    this.#pool.release(slot.endpoint.id, outcome, now)
    if (outcome === 'answered') this.#meanSlotHoldMs += (now - slot.since - this.#meanSlotHoldMs) * SLOT_HOLD_EWMA_WEIGHT
    this.#serveQueue()
  }

  /** Whether a session's endpoint is owned by this gateway and accepts requests. */
  isAccepting (endpoint: EndpointId): boolean {
    return this.#pool.isAccepting(endpoint, this.#clock.now())
  }

  #expectedWaitMs (caller: CallerId): number {
    const { slots } = this.#pool
    return slots === 0 ? Infinity : this.#queue.positionOf(caller) / slots * this.#meanSlotHoldMs
  }

  #enqueue (waiting: WaitingRequest): void {
    const admission = this.#queue.push(waiting.caller, waiting)
    if (admission.kind === 'full') {
      waiting.settle(Err(overloaded(this.#expectedWaitMs(waiting.caller))))
      return
    }
    admission.displaced?.settle(Err(overloaded(this.#expectedWaitMs(admission.displaced.caller))))
    this.#scheduleRecheck()
  }

  #serveQueue (): void {
    const now = this.#clock.now()
    while (this.#queue.length > 0 && this.#pool.hasFreeSlot(now)) {
      let endpoint: Endpoint | undefined
      const waiting = this.#queue.take(({ route }) => {
        endpoint = this.#pool.acquire(route, now)
        return endpoint !== undefined
      })
      if (waiting === undefined || endpoint === undefined) break
      waiting.settle(Ok({ endpoint, since: now }))
    }
    this.#scheduleRecheck()
  }

  // An endpoint's pause ends by time alone, without a released slot that would serve the queue.
  #scheduleRecheck (): void {
    if (this.#queue.length === 0 || this.#recheckTimer !== undefined) return
    this.#recheckTimer = this.#clock.after(POOL_CHECK_INTERVAL_MS, () => {
      this.#recheckTimer = undefined
      this.#serveQueue()
    })
  }
}

const overloaded = (expectedMs: number): RequestFault => {
  const seconds = Number.isFinite(expectedMs) ? Math.ceil(expectedMs / 1_000) : RETRY_AFTER_SECONDS
  return {
    error: new AuburnpinError('overloaded', 'No slot of the service becomes free in time', 'Come back after the time in Retry-After.'),
    cause: 'admission',
    isNotRun: true,
    status: 503,
    retryAfterSeconds: Math.min(RETRY_AFTER_MAX_SECONDS, Math.max(RETRY_AFTER_SECONDS, seconds))
  }
}
