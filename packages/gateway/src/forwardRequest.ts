/**
 * Sends one request to one endpoint and its answer back to the caller.
 */
import { request, type Agent, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from 'node:http'
import { AuburnpinError, Err, Ok, type RequestId, type Result } from '@auburnpin/common'
import type { Endpoint } from '@auburnpin/core'
import { splitAddress } from '@auburnpin/platform'
import { CONNECT_MS, ENDPOINT_IDLE_MS, REFUSED_HEADER, REQUEST_ID_HEADER } from './constants.ts'

/** What is known of a request that brought no answer. */
export type ForwardFault = Readonly<{
  error: AuburnpinError
  /** Whether it is certain that no endpoint ran the request. */
  isNotRun: boolean
}>

/** One request on its way. */
export type ForwardCall = Readonly<{
  incoming: IncomingMessage
  outgoing: ServerResponse
  endpoint: Endpoint
  agent: Agent
  requestId: RequestId
  path: string
}>

const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-connection'])

/** Headers without those that concern one connection alone. */
export const endToEndHeaders = (headers: IncomingHttpHeaders): IncomingHttpHeaders => {
  const named = new Set((headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()))
  const kept: IncomingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP.has(name) && !named.has(name)) kept[name] = value
  }
  return kept
}

/** Resolves once the answer has gone to the caller whole, or tells why none has begun. */
export const forwardRequest = (call: ForwardCall): Promise<Result<void, ForwardFault>> => {
  const { incoming, outgoing, endpoint } = call
  const [host, port] = splitAddress(endpoint.address)
  return new Promise(resolve => {
    let isHandedOver = false
    const fail = (error: Error): void => resolve(Err({ error: toFault(endpoint, error), isNotRun: !isHandedOver }))
    const headers = { ...endToEndHeaders(incoming.headers), [REQUEST_ID_HEADER]: call.requestId }
    const upstream = request({ agent: call.agent, host, port, method: incoming.method, path: call.path, headers })
    const connectTimer = setTimeout(() => upstream.destroy(new Error('No connection in time')), CONNECT_MS)
    upstream.on('socket', socket => {
      const handOver = (): void => {
        clearTimeout(connectTimer)
        isHandedOver = true
        incoming.pipe(upstream)
      }
      if (socket.connecting) socket.once('connect', handOver)
      else handOver()
    })
    upstream.setTimeout(ENDPOINT_IDLE_MS, () => upstream.destroy(new Error('The endpoint fell silent')))
    upstream.on('error', error => {
      clearTimeout(connectTimer)
      fail(error)
    })
    upstream.on('response', answer => {
      if (answer.headers[REFUSED_HEADER] !== undefined) {
        answer.resume()
        resolve(Err({ error: new AuburnpinError('leaving', `Endpoint ${endpoint.id} takes no new requests`, 'Try again; another endpoint will be chosen.'), isNotRun: true }))
        return
      }
      passBack(answer, outgoing, call.requestId, resolve)
    })
    outgoing.once('close', () => {
      if (!outgoing.writableFinished) upstream.destroy(new Error('The caller went away'))
    })
  })
}

const passBack = (answer: IncomingMessage, outgoing: ServerResponse, requestId: RequestId, resolve: (result: Result<void, ForwardFault>) => void): void => {
  outgoing.writeHead(answer.statusCode ?? 502, { ...endToEndHeaders(answer.headers), [REQUEST_ID_HEADER]: requestId })
  // An answer that breaks off must not look whole, so the caller's connection is cut with it.
  answer.on('error', () => outgoing.destroy())
  answer.on('aborted', () => outgoing.destroy())
  outgoing.once('close', () => resolve(Ok(undefined)))
  answer.pipe(outgoing)
}

const toFault = (endpoint: Endpoint, cause: Error): AuburnpinError =>
  new AuburnpinError('unreachable', `Endpoint ${endpoint.id} gave no answer: ${cause.message}`, 'See the header auburnpin-outcome before you send it again.', { cause })
