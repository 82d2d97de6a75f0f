/**
 * Sends one request to one endpoint and its answer back.
 */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Writable } from 'node:stream'
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import type { Endpoint } from '@auburnpin/core'
import { splitAddress } from '@auburnpin/ports'
import { REFUSED_HEADER, REFUSED_LEAVING, REQUEST_ID_HEADER } from './constants.ts'
import type { Exchange } from './Exchange.ts'
import type { GatewayLimits } from './limits.ts'
import type { FaultCause, RequestFault } from './types.ts'

/** One try of one request. */
export type ForwardCall = Readonly<{ exchange: Exchange, endpoint: Endpoint, agent: Agent, limits: GatewayLimits }>

/** Resolves once the endpoint has given its whole answer, which may still be on its way to the caller. */
export const forwardRequest = (call: ForwardCall): Promise<Result<void, RequestFault>> =>
  new Promise(resolve => { new EndpointTry(call, resolve).start() })

/** Owns the connection to the endpoint for the time of one try. */
class EndpointTry {
  readonly #call: ForwardCall
  readonly #resolve: (result: Result<void, RequestFault>) => void
  readonly #upstream: ClientRequest
  readonly #connectTimer: NodeJS.Timeout
  #answer: IncomingMessage | undefined
  #outgoing: Writable | undefined
  #isHandedOver = false
  #isSettled = false

  constructor (call: ForwardCall, resolve: (result: Result<void, RequestFault>) => void) {
    this.#call = call
    this.#resolve = resolve
    const { exchange: { head }, endpoint, agent, limits } = call
    const [host, port] = splitAddress(endpoint.address)
    const headers = { ...head.headers, [REQUEST_ID_HEADER]: head.requestId }
    this.#upstream = request({ agent, host, port, method: head.method, path: head.path, headers })
    this.#connectTimer = setTimeout(() => this.#fail('endpoint', 'no connection in time'), limits.connectMs)
  }

  start (): void {
    const { exchange, limits } = this.#call
    const upstream = this.#upstream
    upstream.on('socket', socket => this.#whenConnected(socket))
    upstream.setTimeout(limits.endpointIdleMs, () => this.#fallSilent())
    upstream.on('error', error => this.#fail('endpoint', error.message))
    upstream.on('response', answer => this.#takeAnswer(answer))
    exchange.body.onBroken(isTooLarge => this.#bodyBroken(isTooLarge))
    exchange.onGone(() => this.#callerGone())
    if (exchange.isGone) this.#callerGone()
  }

  // Until here the request can not have reached the endpoint: nothing is written before the connection stands.
  #whenConnected (socket: Socket): void {
    const handOver = (): void => {
      clearTimeout(this.#connectTimer)
      if (this.#isSettled) return
      this.#isHandedOver = true
      this.#call.exchange.body.sendTo(this.#upstream)
    }
    if (socket.connecting) socket.once('connect', handOver)
    else handOver()
  }

  #takeAnswer (answer: IncomingMessage): void {
    const { exchange, endpoint } = this.#call
    if (this.#isSettled || exchange.isGone) {
      this.#fail('caller', 'the caller went away')
      return
    }
    const refusal = answer.headers[REFUSED_HEADER]
    if (refusal !== undefined) {
      answer.resume()
      this.#refused(refusal === REFUSED_LEAVING)
      return
    }
    this.#answer = answer
    answer.on('error', error => this.#fail('endpoint', error.message))
    answer.on('aborted', () => this.#fail('endpoint', 'the answer broke off'))
    answer.on('end', () => {
      if (answer.complete) this.#settle(Ok(undefined))
      else this.#fail('endpoint', 'the answer broke off')
    })
    this.#outgoing = exchange.begin({ status: answer.statusCode ?? 502, headers: answer.headers, endpoint: endpoint.id })
    answer.pipe(this.#outgoing)
  }

  // A caller that reads slowly holds the endpoint back; that is not the endpoint's silence.
  #fallSilent (): void {
    if (this.#outgoing?.writableNeedDrain === true) return
    this.#fail('endpoint', 'it fell silent')
  }

  #bodyBroken (isTooLarge: boolean): void {
    if (!isTooLarge) {
      this.#fail('caller', 'the request broke off')
      return
    }
    const error = new AuburnpinError('invalid-request', `The body is larger than ${this.#call.limits.maxBodyBytes} bytes`, 'Send less, or raise limits.maxBodyBytes in the settings.')
    this.#settle(Err({ error, cause: 'caller', isNotRun: !this.#isHandedOver, status: 413 }))
    this.#upstream.destroy()
  }

  // Before its answer begins, the endpoint works on regardless, so its slot stays taken until it is done.
  #callerGone (): void {
    const isWorking = this.#isHandedOver && this.#answer === undefined && !this.#call.exchange.body.isBroken
    if (!isWorking) this.#fail('caller', 'the caller went away')
  }

  #refused (isLeaving: boolean): void {
    const { id } = this.#call.endpoint
    this.#call.exchange.body.detach()
    // What the endpoint did not wait for can not be left half sent on a connection that is used again.
    if (!this.#upstream.writableEnded) this.#upstream.destroy()
    const error = new AuburnpinError('leaving', `Endpoint ${id} takes no new requests`, 'Come back after the time in Retry-After.')
    this.#settle(Err({ error, cause: isLeaving ? 'leaving' : 'busy', isNotRun: true, status: 503 }))
  }

  #fail (cause: FaultCause, reason: string): void {
    if (this.#isSettled) return
    const { exchange, endpoint } = this.#call
    exchange.body.detach()
    this.#upstream.destroy()
    if (exchange.isBegun) exchange.cut()
    const isNotRun = !this.#isHandedOver
    const remedy = isNotRun ? 'Come back after the time in Retry-After.' : 'It may have run; find out before you send it again.'
    const error = new AuburnpinError('unreachable', `Endpoint ${endpoint.id} gave no whole answer: ${reason}`, remedy)
    this.#settle(Err({ error, cause, isNotRun, status: isNotRun ? 503 : 502 }))
  }

  #settle (result: Result<void, RequestFault>): void {
    if (this.#isSettled) return
    this.#isSettled = true
    clearTimeout(this.#connectTimer)
    this.#resolve(result)
  }
}
