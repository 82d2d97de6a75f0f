/**
 * The HTTP server for callers: forwards `/SERVICE/path` to an endpoint of the service.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as TcpServer, type AddressInfo, type Socket } from 'node:net'
import { brand, type Clock, type Log, type MemberId, type Metrics, type Random, type RequestId } from '@auburnpin/common'
import type { LiveGateway } from '@auburnpin/core'
import type { ConfigurationFollower, EndpointDirectory, StreamPeers } from '@auburnpin/cluster'
import { checkRequest, callerFault } from './checkRequest.ts'
import { CLOSE_CHECK_INTERVAL_MS } from './constants.ts'
import { HttpExchange } from './HttpExchange.ts'
import { IdleSocketCloser } from './IdleSocketCloser.ts'
import type { GatewayLimits } from './limits.ts'
import { RequestRunner } from './RequestRunner.ts'
import { SessionTokens, type SessionKey } from './SessionTokens.ts'
import { SlotOwners } from './SlotOwners.ts'
import { faultBody, faultHeaders, sendFault } from './sendFault.ts'

/** Dependencies of the server. */
export type CallerPorts = Readonly<{
  self: MemberId
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  limits: GatewayLimits
  configuration: Pick<ConfigurationFollower, 'current' | 'isInTouch'>
  endpoints: EndpointDirectory
  sessionKeys: () => readonly SessionKey[]
  /** Live gateways in this gateway's membership view, itself included. */
  gateways: () => readonly LiveGateway[]
  /** Opens streams to the other gateways; if absent, this gateway grants all slots itself. */
  streams?: StreamPeers
}>

const REQUEST_ID_LENGTH = 16
const HEALTH_PATH = '/.auburnpin/health'

/** Accepts callers' requests and responds to each exactly once. */
export class CallerServer {
  readonly #ports: CallerPorts
  readonly #server: Server
  readonly #tokens: SessionTokens
  readonly #runner: RequestRunner
  readonly #sockets = new Set<Socket>()
  /** Connections with a request in progress. */
  readonly #busySockets = new Set<Socket>()
  #isLeaving = false
  #inProgress = 0
  #answered = 0

  constructor (ports: CallerPorts) {
    this.#ports = ports
    this.#tokens = new SessionTokens(ports.sessionKeys)
    this.#runner = new RequestRunner({ ...ports, owners: new SlotOwners(ports) })
    this.#server = this.#createServer()
  }

  /** Requests that have not ended, including those forwarded by other gateways. */
  get inProgress (): number {
    return Math.max(this.#inProgress, this.#runner.inProgress)
  }

  /** Callers' connections, including idle ones. */
  get connections (): number {
    return this.#sockets.size
  }

  /** Requests that got a complete response from an endpoint. */
  get answered (): number {
    return this.#answered
  }

  listen (host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve(`${host}:${(this.#server.address() as AddressInfo).port}`))
    })
  }

  /** Recomputes which endpoints this gateway owns; must be called when the set of live gateways changes. */
  refresh (): void {
    this.#runner.refresh()
  }

  /** Makes the health check fail, so that the load balancer sends no more requests. */
  leave (): void {
    this.#isLeaving = true
  }

  /** Accepts no new connections; resolves once all requests in progress, including other gateways', have ended. */
  async close (): Promise<void> {
    const closed = this.#closeListener()
    const idle = new IdleSocketCloser(this.#sockets)
    while (this.inProgress > 0 || this.#sockets.size > 0) {
      await this.#ports.clock.sleep(CLOSE_CHECK_INTERVAL_MS)
      idle.closeIdle(this.#busySockets)
    }
    await closed
    this.#runner.close()
  }

  // Node's `close` of the HTTP server destroys idle connections at once, and with them requests that are just arriving.
  #closeListener (): Promise<void> {
    return new Promise(resolve => { TcpServer.prototype.close.call(this.#server, () => resolve()) })
  }

  #createServer (): Server {
    const { limits } = this.#ports
    const options = { maxHeaderSize: limits.maxHeaderBytes, headersTimeout: limits.headersMs, requestTimeout: 0 }
    const server = createServer(options, (incoming, outgoing) => { void this.#handle(incoming, outgoing) })
    // `checkRequest` rejects excess headers; Node would drop them silently.
    server.maxHeadersCount = 0
    server.timeout = limits.callerIdleMs
    server.keepAliveTimeout = limits.callerIdleMs
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this.#rejectMalformed(error, socket))
    return server
  }

  async #handle (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (incoming.url === HEALTH_PATH) return this.#answerHealth(outgoing)
    const requestId = brand<RequestId>(this.#ports.random.id(REQUEST_ID_LENGTH))
    const { socket } = incoming
    this.#inProgress++
    this.#busySockets.add(socket)
    outgoing.once('close', () => {
      this.#inProgress--
      this.#busySockets.delete(socket)
    })
    if (this.#isLeaving) outgoing.setHeader('connection', 'close')
    try {
      await this.#serve(incoming, outgoing, requestId)
    } catch (thrown) {
      this.#ports.log.error(String(thrown), { requestId })
      outgoing.destroy()
    }
  }

  #answerHealth (outgoing: ServerResponse): void {
    // Without contact to the store and to peers, this gateway's configuration may be out of date.
    const isLeaving = this.#isLeaving || !this.#ports.configuration.isInTouch
    const state = isLeaving ? 'leaving' : 'ready'
    outgoing.writeHead(isLeaving ? 503 : 200, { 'content-type': 'application/json' })
    outgoing.end(`${JSON.stringify({ state })}\n`)
  }

  async #serve (incoming: IncomingMessage, outgoing: ServerResponse, requestId: RequestId): Promise<void> {
    const { clock, configuration, limits, log, metrics } = this.#ports
    const checked = checkRequest(incoming, requestId, { configuration: configuration.current, limits, tokens: this.#tokens })
    if (checked.err) {
      // The rest of the body is not read before the response is sent.
      outgoing.setHeader('connection', 'close')
      incoming.resume()
      sendFault(outgoing, checked.val, requestId)
      return
    }
    const { head, service } = checked.val
    const exchange = new HttpExchange(head, incoming, outgoing, limits.maxBodyBytes, this.#tokens)
    const startedAt = clock.now()
    const isAnswered = await this.#runner.run(exchange, service)
    const tags = { service: head.service }
    metrics.count(isAnswered ? 'requests.answered' : 'requests.refused', 1, tags)
    if (!isAnswered) {
      // In an overload there is one record per rejected request, so the level is debug.
      log.debug('A request was not answered by an endpoint', { requestId, service: head.service, caller: head.caller, method: head.method })
      return
    }
    metrics.timing('requests.duration', clock.now() - startedAt, tags)
    this.#answered++
  }

  // Node creates no request object for what its parser rejects, so the response is written to the socket.
  #rejectMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const requestId = brand<RequestId>(this.#ports.random.id(REQUEST_ID_LENGTH))
    const fault = malformedRequestFault(error.code ?? '', this.#ports.limits)
    const body = faultBody(fault, requestId)
    const lines = [`HTTP/1.1 ${fault.status} Refused`, 'connection: close', `content-length: ${Buffer.byteLength(body)}`]
    for (const [name, value] of Object.entries(faultHeaders(fault, requestId))) lines.push(`${name}: ${value}`)
    socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`)
  }
}

const malformedRequestFault = (code: string, limits: GatewayLimits) => {
  if (code === 'HPE_HEADER_OVERFLOW') return callerFault(431, `The headers are larger than ${limits.maxHeaderBytes} bytes`, 'Send smaller headers, or raise limits.maxHeaderBytes in the settings.')
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return callerFault(408, `The headers were not received within ${limits.headersMs} ms`, 'Send the whole request at once.')
  return callerFault(400, 'The request is not valid HTTP/1.1', 'Correct the request line, the headers or the framing of the body.')
}
