/**
 * Requests of one service that wait for a slot of one of its endpoints.
 */
import { AuburnpinError, Err, Ok, type Clock, type Result, type Timer } from '@auburnpin/common'
import { EndpointPool, type Endpoint } from '@auburnpin/core'
import { MAX_QUEUED } from './constants.ts'

type Waiting = Readonly<{ resolve: (slot: Result<Endpoint, AuburnpinError>) => void, timer: Timer }>

/** Hands slots out in the order in which they were asked for. */
export class SlotQueue {
  readonly #clock: Clock
  readonly #pool = new EndpointPool()
  readonly #waiting = new Set<Waiting>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Takes in the service's present endpoints. */
  update (endpoints: readonly Endpoint[]): void {
    this.#pool.update(endpoints)
    this.#serve()
  }

  /** Resolves to an endpoint with a slot taken, or to `overloaded` after `waitMs`. */
  acquire (waitMs: number): Promise<Result<Endpoint, AuburnpinError>> {
    const endpoint = this.#waiting.size === 0 ? this.#pool.acquire() : undefined
    if (endpoint !== undefined) return Promise.resolve(Ok(endpoint))
    if (this.#waiting.size >= MAX_QUEUED) return Promise.resolve(Err(overloaded()))
    return new Promise(resolve => {
      const timer = this.#clock.after(waitMs, () => {
        this.#waiting.delete(waiting)
        resolve(Err(overloaded()))
      })
      const waiting = { resolve, timer }
      this.#waiting.add(waiting)
    })
  }

  /** Gives a slot back. */
  release (endpoint: Endpoint): void {
    this.#pool.release(endpoint.id)
    this.#serve()
  }

  #serve (): void {
    for (const waiting of this.#waiting) {
      const endpoint = this.#pool.acquire()
      if (endpoint === undefined) return
      this.#waiting.delete(waiting)
      waiting.timer.cancel()
      waiting.resolve(Ok(endpoint))
    }
  }
}

const overloaded = (): AuburnpinError =>
  new AuburnpinError('overloaded', 'All slots of the service are taken', 'Come back after the time in Retry-After.')
