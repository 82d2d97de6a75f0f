/**
 * Simulated network link: delivers a call, delays it, or loses its request or response.
 */
import { AuburnpinError, Err, type Clock, type Result } from '@auburnpin/common'

/** How one call is delivered. */
export type CallDelivery = Readonly<{
  /** Delay of the request, in milliseconds. */
  requestDelayMs: number
  /** Delay of the response, in milliseconds. */
  responseDelayMs: number
  /**
   * `there`: the request is lost. `back`: the response is lost. `refused`: the call is refused at once.
   * `late`: the caller times out, and the request still arrives after its delay.
   */
  loss: 'none' | 'there' | 'back' | 'refused' | 'late'
}>

/** Delivery without delay or loss. */
export const IMMEDIATE: CallDelivery = { requestDelayMs: 0, responseDelayMs: 0, loss: 'none' }

/** Decides how a call is delivered, by its caller, callee and operation. */
export type DeliveryPolicy = (from: string, to: string, operation: string) => CallDelivery

/** Resolves once the named process runs; a paused process neither handles calls nor receives responses. */
export type ProcessGate = (process: string) => Promise<void> | undefined

/** Time after which a call without a response fails, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000

/** Delivers calls between processes as the delivery policy decides. */
export class FakeLink {
  readonly #clock: Clock
  #deliveryOf: DeliveryPolicy = () => IMMEDIATE
  #gate: ProcessGate | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Replaces the delivery policy. */
  setDeliveryPolicy (policy: DeliveryPolicy): void {
    this.#deliveryOf = policy
  }

  /** Sets the gate that holds back requests to and responses for paused processes. */
  setGate (gate: ProcessGate): void {
    this.#gate = gate
  }

  /** Runs `handler` as the callee unless the request is lost, and resolves to the response that reaches the caller. */
  async deliver<Value> (from: string, to: string, operation: string, handler: () => Result<Value, AuburnpinError> | Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    const delivery = this.#deliveryOf(from, to, operation)
    if (delivery.loss === 'refused') return Err(new AuburnpinError('unreachable', `${to} refused ${operation}`, 'Try again.'))
    if (delivery.loss === 'late') {
      this.#clock.after(delivery.requestDelayMs, () => { void handler() })
      return await this.#timeOut(to, operation)
    }
    if (delivery.requestDelayMs > 0) await this.#clock.sleep(delivery.requestDelayMs)
    if (delivery.loss === 'there') return await this.#timeOut(to, operation)
    await this.#gate?.(to)
    const response = await handler()
    if (delivery.loss === 'back') return await this.#timeOut(to, operation)
    if (delivery.responseDelayMs > 0) await this.#clock.sleep(delivery.responseDelayMs)
    await this.#gate?.(from)
    return response
  }

  async #timeOut (to: string, operation: string): Promise<Result<never, AuburnpinError>> {
    await this.#clock.sleep(CALL_TIMEOUT_MS)
    return Err(new AuburnpinError('unknown-outcome', `${to} did not respond to ${operation}`, 'Read the result back before repeating the call.'))
  }
}
