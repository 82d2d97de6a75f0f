/**
 * The listener for callers: `/SERVICE/path` goes to an endpoint of the service.
 */
import { Agent, createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import {
  AuburnpinError, brand, type Clock, type Log, type Metrics, type Random, type RequestId, type Result, type ServiceName
} from '@auburnpin/common'
import type { Service } from '@auburnpin/core'
import type { ConfigurationFollower, EndpointDirectory } from '@auburnpin/cluster'
import { IDLE_REUSE_MS, MAX_TRIES, OUTCOME_HEADER, REQUEST_ID_HEADER, RETRY_AFTER_SECONDS } from './constants.ts'
import { forwardRequest, type ForwardFault } from './forwardRequest.ts'
import { SlotQueue } from './SlotQueue.ts'

/** What the listener needs from outside. */
export type CallerPorts = Readonly<{
  clock: Clock
  random: Random
  log: Log
  metrics: Metrics
  configuration: ConfigurationFollower
  endpoints: EndpointDirectory
}>

type Target = Readonly<{ name: ServiceName, service: Service, path: string }>

const REQUEST_ID_LENGTH = 16
const HEALTH_PATH = '/.auburnpin/health'

/** Takes callers' requests and answers each exactly once. */
export class CallerServer {
  readonly #ports: CallerPorts
  readonly #server: Server
  readonly #agent = new Agent({ keepAlive: true, timeout: IDLE_REUSE_MS })
  readonly #queues = new Map<ServiceName, SlotQueue>()
  #isLeaving = false
  #inProgress = 0
  #answered = 0

  constructor (ports: CallerPorts) {
    this.#ports = ports
    this.#server = createServer((incoming, outgoing) => { void this.#handle(incoming, outgoing) })
    ports.endpoints.onChange(() => this.#updateQueues())
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

  /** From now on the health answer tells the balancer to send nothing more. */
  leave (): void {
    this.#isLeaving = true
  }

  /** Takes no new connections and resolves once the requests in progress have ended. */
  async close (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.#server.close(() => resolve()) })
    while (this.#inProgress > 0) await this.#ports.clock.sleep(20)
    this.#server.closeIdleConnections()
    await closed
    this.#agent.destroy()
  }

  async #handle (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (incoming.url === HEALTH_PATH) return this.#answerHealth(outgoing)
    const requestId = brand<RequestId>(this.#ports.random.id(REQUEST_ID_LENGTH))
    const startedAt = this.#ports.clock.now()
    this.#inProgress++
    if (this.#isLeaving) outgoing.setHeader('connection', 'close')
    try {
      await this.#serve(incoming, outgoing, requestId)
    } finally {
      this.#inProgress--
      this.#ports.metrics.timing('requests.duration', this.#ports.clock.now() - startedAt)
    }
  }

  #answerHealth (outgoing: ServerResponse): void {
    const state = this.#isLeaving ? 'leaving' : 'ready'
    outgoing.writeHead(this.#isLeaving ? 503 : 200, { 'content-type': 'application/json' })
    outgoing.end(`${JSON.stringify({ state })}\n`)
  }

  async #serve (incoming: IncomingMessage, outgoing: ServerResponse, requestId: RequestId): Promise<void> {
    const target = this.#findTarget(incoming.url ?? '/')
    if (target === undefined) {
      tellCaller(outgoing, 404, requestId, true, new AuburnpinError('not-found', 'The path names no service', 'Send the request to /SERVICE/...; `auburnpin status` lists the services.'))
      return
    }
    for (let tries = 1; ; tries++) {
      const queue = this.#queueOf(target.name)
      const slot = await queue.acquire(target.service.queueMs)
      if (slot.err) {
        this.#ports.metrics.count('requests.refused')
        tellCaller(outgoing, 503, requestId, true, slot.val)
        return
      }
      const result = await forwardRequest({ incoming, outgoing, endpoint: slot.val, agent: this.#agent, requestId, path: target.path })
      queue.release(slot.val)
      if (!this.#isRetried(result, tries)) {
        this.#finish(result, outgoing, requestId)
        return
      }
    }
  }

  #isRetried (result: Result<void, ForwardFault>, tries: number): boolean {
    return result.err && result.val.isNotRun && tries < MAX_TRIES
  }

  #finish (result: Result<void, ForwardFault>, outgoing: ServerResponse, requestId: RequestId): void {
    if (result.ok) {
      this.#answered++
      this.#ports.metrics.count('requests.answered')
      return
    }
    tellCaller(outgoing, result.val.isNotRun ? 503 : 502, requestId, result.val.isNotRun, result.val.error)
  }

  #findTarget (url: string): Target | undefined {
    const [, first = ''] = url.split(/[/?]/)
    const name = brand<ServiceName>(first)
    const service = this.#ports.configuration.current.services[name]?.value
    if (service === undefined) return undefined
    const rest = url.slice(first.length + 1)
    return { name, service, path: rest.startsWith('/') ? rest : `/${rest}` }
  }

  #queueOf (name: ServiceName): SlotQueue {
    const existing = this.#queues.get(name)
    if (existing !== undefined) return existing
    const queue = new SlotQueue(this.#ports.clock)
    queue.update(this.#ports.endpoints.endpointsOf(name))
    this.#queues.set(name, queue)
    return queue
  }

  #updateQueues (): void {
    for (const [name, queue] of this.#queues) queue.update(this.#ports.endpoints.endpointsOf(name))
  }
}

const tellCaller = (outgoing: ServerResponse, status: number, requestId: RequestId, isNotRun: boolean, error: AuburnpinError): void => {
  if (outgoing.headersSent) {
    outgoing.destroy()
    return
  }
  const headers: Record<string, string | number> = {
    'content-type': 'application/json', [OUTCOME_HEADER]: isNotRun ? 'not-run' : 'unknown', [REQUEST_ID_HEADER]: requestId
  }
  if (status === 503) headers['retry-after'] = RETRY_AFTER_SECONDS
  outgoing.writeHead(status, headers)
  outgoing.end(`${JSON.stringify({ ...error.toReport(), requestId })}\n`)
}
