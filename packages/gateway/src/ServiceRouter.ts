/**
 * Hands out the slots of one service's endpoints that this gateway owns, and queues who has to wait.
 */
import { AuburnpinError, Err, Ok, type CallerId, type Clock, type EndpointId, type Instant, type Result, type Timer } from '@auburnpin/common'
import { EndpointPool, FairQueue, RetryBudget, type Endpoint, type EndpointReport, type Route } from '@auburnpin/core'
import { HOLD_WEIGHT, POOL_LOOK_MS, RETRY_AFTER_MAX_SECONDS, RETRY_AFTER_SECONDS } from './constants.ts'
import type { RequestFault } from './types.ts'

/** A slot that is held until it is given back. */
export type Slot = Readonly<{ endpoint: Endpoint, since: Instant }>

type Waiting = Readonly<{ caller: CallerId, route: Route, settle: (result: Result<Slot, RequestFault>) => void }>

/** Serves callers in turn; refuses at once what could not be served in time. */
export class ServiceRouter {
  readonly #clock: Clock
  readonly #pool = new EndpointPool()
  readonly #queue: FairQueue<Waiting>
  readonly retries = new RetryBudget()
  #meanHoldMs = 0
  #look: Timer | undefined

  constructor (clock: Clock, maxQueued: number) {
    this.#clock = clock
    this.#queue = new FairQueue(maxQueued)
  }

  /** Takes in the endpoints that this gateway owns at present. */
  update (endpoints: readonly Endpoint[]): void {
    this.#pool.update(endpoints)
    this.#serve()
  }

  get endpoints (): readonly Endpoint[] {
    return this.#pool.endpoints
  }

  /** Free slots less waiting requests, as a share of the slots; minus infinity without slots. */
  get spareShare (): number {
    const { slots } = this.#pool
    if (slots === 0) return -Infinity
    const spare = this.#queue.length > 0 ? -this.#queue.length : this.#pool.freeSlots(this.#clock.now())
    return spare / slots
  }

  get queued (): number {
    return this.#queue.length
  }

  /** Takes a slot if one is free and nobody waits for it. */
  tryAcquire (route: Route): Slot | undefined {
    if (this.#queue.length > 0) return undefined
    const now = this.#clock.now()
    const endpoint = this.#pool.acquire(route, now)
    return endpoint === undefined ? undefined : { endpoint, since: now }
  }

  /** Waits for a slot. A request that can not be served within `waitMs` is refused at once, not at the end of the wait. */
  acquire (caller: CallerId, route: Route, waitMs: number): Promise<Result<Slot, RequestFault>> {
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
      const waiting: Waiting = { caller, route, settle }
      this.#admit(waiting)
    })
  }

  /** Gives a slot back. */
  release (slot: Slot, report: EndpointReport): void {
    const now = this.#clock.now()
    this.#pool.release(slot.endpoint.id, report, now)
    if (report === 'answered') this.#meanHoldMs += (now - slot.since - this.#meanHoldMs) * HOLD_WEIGHT
    this.#serve()
  }

  /** Whether a session's endpoint is one of those owned and takes new requests. */
  isBindable (endpoint: EndpointId): boolean {
    return this.#pool.isBindable(endpoint, this.#clock.now())
  }

  #expectedWaitMs (caller: CallerId): number {
    const { slots } = this.#pool
    return slots === 0 ? Infinity : this.#queue.positionOf(caller) / slots * this.#meanHoldMs
  }

  #admit (waiting: Waiting): void {
    const admission = this.#queue.push(waiting.caller, waiting)
    if (admission.kind === 'full') {
      waiting.settle(Err(overloaded(this.#expectedWaitMs(waiting.caller))))
      return
    }
    admission.displaced?.settle(Err(overloaded(this.#expectedWaitMs(admission.displaced.caller))))
    this.#lookLater()
  }

  #serve (): void {
    const now = this.#clock.now()
    while (this.#queue.length > 0 && this.#pool.hasFree(now)) {
      let endpoint: Endpoint | undefined
      const waiting = this.#queue.take(({ route }) => {
        endpoint = this.#pool.acquire(route, now)
        return endpoint !== undefined
      })
      if (waiting === undefined || endpoint === undefined) break
      waiting.settle(Ok({ endpoint, since: now }))
    }
    this.#lookLater()
  }

  // Pauses of endpoints end by time alone, with no request that gives a slot back.
  #lookLater (): void {
    if (this.#queue.length === 0 || this.#look !== undefined) return
    this.#look = this.#clock.after(POOL_LOOK_MS, () => {
      this.#look = undefined
      this.#serve()
    })
  }
}

const overloaded = (expectedMs: number): RequestFault => {
  const seconds = Number.isFinite(expectedMs) ? Math.ceil(expectedMs / 1_000) : RETRY_AFTER_SECONDS
  return {
    error: new AuburnpinError('overloaded', 'The service has no free slot in time', 'Come back after the time in Retry-After.'),
    cause: 'admission',
    isNotRun: true,
    status: 503,
    retryAfterSeconds: Math.min(RETRY_AFTER_MAX_SECONDS, Math.max(RETRY_AFTER_SECONDS, seconds))
  }
}
