/**
 * The listener for callers: `/SERVICE/path` goes to an endpoint of the service.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as TcpServer, type AddressInfo, type Socket } from 'node:net'
import { brand, type Clock, type Log, type MemberId, type Metrics, type Random, type RequestId } from '@auburnpin/common'
import type { GatewaySeat } from '@auburnpin/core'
import type { ConfigurationFollower, EndpointDirectory, StreamPeers } from '@auburnpin/cluster'
import { checkRequest, refuse } from './checkRequest.ts'
import { CLOSING_LOOK_MS } from './constants.ts'
import { HttpExchange } from './HttpExchange.ts'
import { IdleSockets } from './IdleSockets.ts'
import type { GatewayLimits } from './limits.ts'
import { RequestRunner } from './RequestRunner.ts'
import { SessionTokens, type SessionKey } from './SessionTokens.ts'
import { SlotOwners } from './SlotOwners.ts'
import { faultBody, faultHeaders, tellFault } from './tellFault.ts'

/** What the listener needs from outside. */
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
  /** Live gateways as this one sees them, itself included. */
  gateways: () => readonly GatewaySeat[]
  /** Links to the other gateways; without them all slots are handed out here. */
  streams?: StreamPeers
}>

const REQUEST_ID_LENGTH = 16
const HEALTH_PATH = '/.auburnpin/health'

/** Takes callers' requests and answers each exactly once. */
export class CallerServer {
  readonly #ports: CallerPorts
  readonly #server: Server
  readonly #tokens: SessionTokens
  readonly #runner: RequestRunner
  readonly #sockets = new Set<Socket>()
  /** Connections with a request in progress. */
  readonly #serving = new Set<Socket>()
  #isLeaving = false
  #inProgress = 0
  #answered = 0

  constructor (ports: CallerPorts) {
    this.#ports = ports
    this.#tokens = new SessionTokens(ports.sessionKeys)
    this.#runner = new RequestRunner({ ...ports, owners: new SlotOwners(ports) })
    this.#server = this.#createServer()
  }

  /** Requests that have not ended, those of other gateways included. */
  get inProgress (): number {
    return Math.max(this.#inProgress, this.#runner.inProgress)
  }

  /** Connections of callers, idle ones included. */
  get connections (): number {
    return this.#sockets.size
  }

  /** Requests answered by an endpoint. */
  get answered (): number {
    return this.#answered
  }

  listen (host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve(`${host}:${(this.#server.address() as AddressInfo).port}`))
    })
  }

  /** Looks again at which endpoints this gateway owns; to be called when the live gateways change. */
  refresh (): void {
    this.#runner.refresh()
  }

  /** From now on the health answer tells the balancer to send nothing more. */
  leave (): void {
    this.#isLeaving = true
  }

  /** Takes no new connections and resolves once the requests in progress have ended, other gateways' included. */
  async close (): Promise<void> {
    const closed = this.#closeListener()
    const idle = new IdleSockets(this.#sockets)
    while (this.inProgress > 0 || this.#sockets.size > 0) {
      await this.#ports.clock.sleep(CLOSING_LOOK_MS)
      idle.closeQuiet(this.#serving)
    }
    await closed
    this.#runner.close()
  }

  // Node's own close cuts idle connections at once, and with them requests that are just coming in.
  #closeListener (): Promise<void> {
    return new Promise(resolve => { TcpServer.prototype.close.call(this.#server, () => resolve()) })
  }

  #createServer (): Server {
    const { limits } = this.#ports
    const options = { maxHeaderSize: limits.maxHeaderBytes, headersTimeout: limits.headersMs, requestTimeout: 0 }
    const server = createServer(options, (incoming, outgoing) => { void this.#handle(incoming, outgoing) })
    // Excess headers are refused by the check; Node would drop them without a word.
    server.maxHeadersCount = 0
    server.timeout = limits.callerIdleMs
    server.keepAliveTimeout = limits.callerIdleMs
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => this.#refuseMalformed(error, socket))
    return server
  }

  async #handle (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (incoming.url === HEALTH_PATH) return this.#answerHealth(outgoing)
    const requestId = brand<RequestId>(this.#ports.random.id(REQUEST_ID_LENGTH))
    const { socket } = incoming
    this.#inProgress++
    this.#serving.add(socket)
    outgoing.once('close', () => {
      this.#inProgress--
      this.#serving.delete(socket)
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
    // Cut off from store and peers, this gateway may be on an old configuration.
    const isLeaving = this.#isLeaving || !this.#ports.configuration.isInTouch
    const state = isLeaving ? 'leaving' : 'ready'
    outgoing.writeHead(isLeaving ? 503 : 200, { 'content-type': 'application/json' })
    outgoing.end(`${JSON.stringify({ state })}\n`)
  }

  async #serve (incoming: IncomingMessage, outgoing: ServerResponse, requestId: RequestId): Promise<void> {
    const { clock, configuration, limits, log, metrics } = this.#ports
    const checked = checkRequest(incoming, requestId, { configuration: configuration.current, limits, tokens: this.#tokens })
    if (checked.err) {
      // What is left of the body is not waited for.
      outgoing.setHeader('connection', 'close')
      incoming.resume()
      tellFault(outgoing, checked.val, requestId)
      return
    }
    const { head, service } = checked.val
    const exchange = new HttpExchange(head, incoming, outgoing, limits.maxBodyBytes, this.#tokens)
    const startedAt = clock.now()
    const isAnswered = await this.#runner.run(exchange, service)
    const tags = { service: head.service }
    metrics.count(isAnswered ? 'requests.answered' : 'requests.refused', 1, tags)
    if (!isAnswered) {
      // In an overload there are as many of these as requests, so they are for looking closer only.
      log.debug('A request was not answered by an endpoint', { requestId, service: head.service, caller: head.caller, method: head.method })
      return
    }
    metrics.timing('requests.duration', clock.now() - startedAt, tags)
    this.#answered++
  }

  // What Node's parser refuses has no request object, so the answer is written to the socket.
  #refuseMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const requestId = brand<RequestId>(this.#ports.random.id(REQUEST_ID_LENGTH))
    const fault = malformed(error.code ?? '', this.#ports.limits)
    const body = faultBody(fault, requestId)
    const lines = [`HTTP/1.1 ${fault.status} Refused`, 'connection: close', `content-length: ${Buffer.byteLength(body)}`]
    for (const [name, value] of Object.entries(faultHeaders(fault, requestId))) lines.push(`${name}: ${value}`)
    socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`)
  }
}

const malformed = (code: string, limits: GatewayLimits) => {
  if (code === 'HPE_HEADER_OVERFLOW') return refuse(431, `The headers are larger than ${limits.maxHeaderBytes} bytes`, 'Send smaller headers, or raise limits.maxHeaderBytes in the settings.')
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return refuse(408, `The headers did not come within ${limits.headersMs} ms`, 'Send the whole request at once.')
  return refuse(400, 'The request is not valid HTTP/1.1', 'Correct the request line, the headers or the framing of the body.')
}
