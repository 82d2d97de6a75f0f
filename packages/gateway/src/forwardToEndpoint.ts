/**
 * Forwards one request to one endpoint and its response to the caller.
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

/** One try: a request and the endpoint that it is sent to. */
export type EndpointCall = Readonly<{ exchange: Exchange, endpoint: Endpoint, agent: Agent, limits: GatewayLimits }>

/** Resolves once the endpoint's response is received completely; part of it may still be on its way to the caller. */
export const forwardToEndpoint = (call: EndpointCall): Promise<Result<void, RequestFault>> =>
  new Promise(resolve => { new EndpointTry(call, resolve).start() })

/** Owns the connection to the endpoint during one try. */
class EndpointTry {
  readonly #call: EndpointCall
  readonly #resolve: (result: Result<void, RequestFault>) => void
  readonly #upstream: ClientRequest
  readonly #connectTimer: NodeJS.Timeout
  #response: IncomingMessage | undefined
  #outgoing: Writable | undefined
  #isForwarded = false
  #isSettled = false

  constructor (call: EndpointCall, resolve: (result: Result<void, RequestFault>) => void) {
    this.#call = call
    this.#resolve = resolve
    const { exchange: { head }, endpoint, agent, limits } = call
    const [host, port] = splitAddress(endpoint.address)
    const headers = { ...head.headers, [REQUEST_ID_HEADER]: head.requestId }
    this.#upstream = request({ agent, host, port, method: head.method, path: head.path, headers })
    this.#connectTimer = setTimeout(() => this.#fail('endpoint', 'the connection timed out'), limits.connectMs)
  }

  start (): void {
    const { exchange, limits } = this.#call
    const upstream = this.#upstream
    upstream.on('socket', socket => this.#forwardWhenConnected(socket))
    upstream.setTimeout(limits.endpointIdleMs, () => this.#handleIdleTimeout())
    upstream.on('error', error => this.#fail('endpoint', error.message))
    upstream.on('response', response => this.#handleResponse(response))
    exchange.body.onFailure(isTooLarge => this.#handleBodyFailure(isTooLarge))
    exchange.onDisconnect(() => this.#handleDisconnect())
    if (exchange.isDisconnected) this.#handleDisconnect()
  }

  // Nothing is written before the connection is established, so until then the request can't have reached the endpoint.
  #forwardWhenConnected (socket: Socket): void {
    const forward = (): void => {
      clearTimeout(this.#connectTimer)
      if (this.#isSettled) return
      this.#isForwarded = true
      this.#call.exchange.body.sendTo(this.#upstream)
    }
    if (socket.connecting) socket.once('connect', forward)
    else forward()
  }

  #handleResponse (response: IncomingMessage): void {
    const { exchange, endpoint } = this.#call
    if (this.#isSettled || exchange.isDisconnected) {
      this.#fail('caller', 'the caller disconnected')
      return
    }
    const refusal = response.headers[REFUSED_HEADER]
    if (refusal !== undefined) {
      response.resume()
      this.#handleRefusal(refusal === REFUSED_LEAVING)
      return
    }
    this.#response = response
    response.on('error', error => this.#fail('endpoint', error.message))
    response.on('aborted', () => this.#fail('endpoint', 'the response was cut short'))
    response.on('end', () => {
      if (response.complete) this.#settle(Ok(undefined))
      else this.#fail('endpoint', 'the response was cut short')
    })
    this.#outgoing = exchange.startResponse({ status: response.statusCode ?? 502, headers: response.headers, endpoint: endpoint.id })
    response.pipe(this.#outgoing)
  }

  // A caller that reads slowly stalls the response through back-pressure; the endpoint is not idle then.
  #handleIdleTimeout (): void {
    if (this.#outgoing?.writableNeedDrain === true) return
    this.#fail('endpoint', 'it sent no data within the idle timeout')
  }

  #handleBodyFailure (isTooLarge: boolean): void {
    if (!isTooLarge) {
      this.#fail('caller', 'the request body was cut short')
      return
    }
    const error = new AuburnpinError('invalid-request', `The body is larger than ${this.#call.limits.maxBodyBytes} bytes`, 'Send less, or raise limits.maxBodyBytes in the settings.')
    this.#settle(Err({ error, cause: 'caller', isNotRun: !this.#isForwarded, status: 413 }))
    this.#upstream.destroy()
  }

  // Before its response starts, the endpoint works on after a disconnect, so its slot stays held until it responds.
  #handleDisconnect (): void {
    const isWorking = this.#isForwarded && this.#response === undefined && !this.#call.exchange.body.hasFailed
    if (!isWorking) this.#fail('caller', 'the caller disconnected')
  }

  #handleRefusal (isLeaving: boolean): void {
    const { id } = this.#call.endpoint
    this.#call.exchange.body.detach()
    // A connection with a partly sent request can't be reused.
    if (!this.#upstream.writableEnded) this.#upstream.destroy()
    const error = new AuburnpinError('leaving', `Endpoint ${id} takes no new requests`, 'Come back after the time in Retry-After.')
    this.#settle(Err({ error, cause: isLeaving ? 'leaving' : 'busy', isNotRun: true, status: 503 }))
  }

  #fail (cause: FaultCause, reason: string): void {
    if (this.#isSettled) return
    const { exchange, endpoint } = this.#call
    exchange.body.detach()
    this.#upstream.destroy()
    if (exchange.isResponseStarted) exchange.abort()
    const isNotRun = !this.#isForwarded
    const remedy = isNotRun ? 'Come back after the time in Retry-After.' : 'It may have run; find out before you send it again.'
    const error = new AuburnpinError('unreachable', `Endpoint ${endpoint.id} sent no complete response: ${reason}`, remedy)
    this.#settle(Err({ error, cause, isNotRun, status: isNotRun ? 503 : 502 }))
  }

  #settle (result: Result<void, RequestFault>): void {
    if (this.#isSettled) return
    this.#isSettled = true
    clearTimeout(this.#connectTimer)
    this.#resolve(result)
  }
}
