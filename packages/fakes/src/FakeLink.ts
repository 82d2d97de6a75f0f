/**
 * Simulated network link: delivers a call, delays it, or loses its request or response.
 */
import { AuburnpinError, Err, type Clock, type Result } from '@auburnpin/common'

/** How one call is delivered. */
export type Fate = Readonly<{
  /** Delay of the request, in milliseconds. */
  thereMs: number
  /** Delay of the response, in milliseconds. */
  backMs: number
  /**
   * `there`: the request is lost. `back`: the response is lost. `refused`: the call is refused at once.
   * `late`: the caller times out, and the request still arrives after its delay.
   */
  loss: 'none' | 'there' | 'back' | 'refused' | 'late'
}>

/** Delivery without delay or loss. */
export const PROMPT: Fate = { thereMs: 0, backMs: 0, loss: 'none' }

/** Decides how a call is delivered, by its caller, callee and operation. */
export type FateChooser = (from: string, to: string, operation: string) => Fate

/** Resolves once the named process runs; a paused process neither handles calls nor receives responses. */
export type ProcessGate = (process: string) => Promise<void> | undefined

/** Time after which a call without a response fails, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000

/** Delivers calls between processes as the delivery policy decides. */
export class FakeLink {
  readonly #clock: Clock
  #deliveryOf: FateChooser = () => PROMPT
  #gate: ProcessGate | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Replaces the delivery policy. */
  setFates (policy: FateChooser): void {
    this.#deliveryOf = policy
  }

  /** Sets the gate that holds back requests to and responses for paused processes. */
  setGate (gate: ProcessGate): void {
    this.#gate = gate
  }

  /** Runs `effect` as the callee unless the request is lost. */
  async carry<Value> (from: string, to: string, operation: string, effect: () => Result<Value, AuburnpinError> | Promise<Result<Value, AuburnpinError>>): Promise<Result<Value, AuburnpinError>> {
    const delivery = this.#deliveryOf(from, to, operation)
    if (delivery.loss === 'refused') return Err(new AuburnpinError('unreachable', `${to} refused ${operation}`, 'Try again.'))
    if (delivery.loss === 'late') {
      this.#clock.after(delivery.thereMs, () => { void effect() })
      return await this.#timeOut(to, operation)
    }
    if (delivery.thereMs > 0) await this.#clock.sleep(delivery.thereMs)
    if (delivery.loss === 'there') return await this.#timeOut(to, operation)
    await this.#gate?.(to)
    const response = await effect()
    if (delivery.loss === 'back') return await this.#timeOut(to, operation)
    if (delivery.backMs > 0) await this.#clock.sleep(delivery.backMs)
    await this.#gate?.(from)
    return response
  }

  async #timeOut (to: string, operation: string): Promise<Result<never, AuburnpinError>> {
    await this.#clock.sleep(CALL_TIMEOUT_MS)
    return Err(new AuburnpinError('unknown-outcome', `${to} did not respond to ${operation}`, 'Read the result back before repeating the call.'))
  }
}
