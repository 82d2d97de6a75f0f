/**
 * Injection of a fault at a given call of a member.
 */
import { IMMEDIATE, type CallDelivery, type DeliveryPolicy } from '@auburnpin/fakes'
import type { Clock } from '@auburnpin/common'

/** What happens to the member at the call. */
export type FaultKind = 'killed-before' | 'killed-after' | 'response-lost' | 'paused'

/** A fault; `call` is the number of the call at which it starts. */
export type Fault = Readonly<{ member: string, call: number, kind: FaultKind, pauseMs: number }>

const REQUEST_LOST: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'there' }
const RESPONSE_LOST: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'back' }

/** Counts the calls of one member and applies the fault from the given call on. */
export class FaultInjector {
  readonly #clock: Clock
  readonly #fault: Fault
  #calls = 0
  #since: number | undefined

  constructor (clock: Clock, fault: Fault) {
    this.#clock = clock
    this.#fault = fault
  }

  /** Number of calls that the member has made. */
  get calls (): number {
    return this.#calls
  }

  /** Whether the fault has been triggered. */
  get hasInjected (): boolean {
    return this.#since !== undefined
  }

  readonly deliveryPolicy: DeliveryPolicy = from => {
    if (from !== this.#fault.member) return IMMEDIATE
    const call = ++this.#calls
    if (call < this.#fault.call) return IMMEDIATE
    this.#since ??= this.#clock.now()
    switch (this.#fault.kind) {
      case 'killed-before':
        return REQUEST_LOST
      case 'killed-after':
        return call === this.#fault.call ? RESPONSE_LOST : REQUEST_LOST
      case 'response-lost':
        return call === this.#fault.call ? RESPONSE_LOST : IMMEDIATE
      case 'paused':
        return this.#delayUntilResumed()
    }
  }

  // All calls that a member makes while it is paused arrive when it resumes.
  #delayUntilResumed (): CallDelivery {
    const leftMs = (this.#since ?? 0) + this.#fault.pauseMs - this.#clock.now()
    return leftMs > 0 ? { requestDelayMs: leftMs, responseDelayMs: 0, loss: 'none' } : IMMEDIATE
  }
}
