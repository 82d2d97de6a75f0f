/**
 * An endpoint on loopback that records the requests that it executed.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** Fault that an endpoint applies to the requests that follow. */
export type EndpointFault =
  | 'none'
  /** Refuses with the reason `leaving` and closes the connection. */
  | 'refusing'
  /** Accepts requests and never responds. */
  | 'silent'
  /** Closes the connection before it executes the request. */
  | 'cut-before'
  /** Closes the connection after it executed the request, without a response. */
  | 'cut-after'
  /** Closes the connection in the middle of a response with a content length. */
  | 'cut-answer'
  /** Closes the connection in the middle of a chunked response. */
  | 'cut-chunks'
  /** Resets a connection that has already served a request. */
  | 'reset-reused'
  /** Crashes on a request whose path contains `crash`: all connections end, and no others are accepted. */
  | 'crash-on-request'

/** A request that the endpoint executed. */
export type HandledRequest = Readonly<{ requestId: string, method: string, path: string, headers: IncomingMessage['headers'] }>

/** Number of concurrent requests that an endpoint accepts by default. */
const DEFAULT_SLOTS = 8
const RESPONSE_CHUNK = Buffer.alloc(64 * 1024, 'b')

/** Responds to each request with a JSON line that contains its path and id, or for `?bytes=N` with N bytes in chunks. */
export class StandInEndpoint {
  readonly #server: Server
  readonly #serviceMs: number
  readonly #slots: number
  readonly #handledRequests: HandledRequest[] = []
  readonly #usedSockets = new WeakSet<Socket>()
  #fault: EndpointFault = 'none'
  #busy = 0
  #peakBusy = 0
  #connections = 0
  #peakConnections = 0
  #refusals = 0
  #bytesSent = 0
  #blockedWrites = 0
  #hasCrashed = false

  constructor (serviceMs: number, slots = DEFAULT_SLOTS) {
    this.#serviceMs = serviceMs
    this.#slots = slots
    this.#server = createServer((incoming, outgoing) => { void this.#handle(incoming, outgoing) })
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', socket => {
      this.#peakConnections = Math.max(this.#peakConnections, ++this.#connections)
      socket.on('close', () => { this.#connections-- })
    })
  }

  /** All executed requests, in order. */
  get handledRequests (): readonly HandledRequest[] {
    return this.#handledRequests
  }

  /** Whether a request has crashed the endpoint. */
  get hasCrashed (): boolean {
    return this.#hasCrashed
  }

  /** Requests in progress. */
  get busy (): number {
    return this.#busy
  }

  /** Highest number of concurrent requests so far. */
  get peakBusy (): number {
    return this.#peakBusy
  }

  /** Highest number of open connections so far. */
  get peakConnections (): number {
    return this.#peakConnections
  }

  /** Requests refused because all slots were in use. */
  get refusals (): number {
    return this.#refusals
  }

  /** Bytes of chunked responses that were written to connections. */
  get bytesSent (): number {
    return this.#bytesSent
  }

  /** Whether a chunked response waits until its reader accepts more bytes. */
  get isBackpressured (): boolean {
    return this.#blockedWrites > 0
  }

  setFault (fault: EndpointFault): void {
    this.#fault = fault
  }

  /** Listens and resolves to the IP address and port. */
  listen (port = 0, host = '127.0.0.1'): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve(`${host}:${(this.#server.address() as AddressInfo).port}`))
    })
  }

  close (): Promise<void> {
    return new Promise(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeAllConnections()
    })
  }

  async #handle (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const fault = this.#fault
    const isReused = this.#usedSockets.has(incoming.socket)
    this.#usedSockets.add(incoming.socket)
    if (fault === 'silent') return
    if (fault === 'crash-on-request' && incoming.url?.includes('crash') === true) return void this.#crash()
    if (fault === 'cut-before') return void incoming.socket.destroy()
    if (fault === 'reset-reused' && isReused) return void incoming.socket.resetAndDestroy()
    if (fault === 'refusing') return this.#refuseLeaving(incoming, outgoing)
    if (this.#busy >= this.#slots) return this.#refuseBusy(incoming, outgoing)
    this.#peakBusy = Math.max(this.#peakBusy, ++this.#busy)
    try {
      await this.#execute(incoming, outgoing, fault)
    } catch {
      incoming.socket.destroy()
    } finally {
      this.#busy--
    }
  }

  #crash (): void {
    this.#hasCrashed = true
    this.#server.close()
    this.#server.closeAllConnections()
  }

  // The body is read first: closing a connection with unread bytes resets it, and the refusal could be lost.
  #refuseLeaving (incoming: IncomingMessage, outgoing: ServerResponse): void {
    incoming.resume()
    incoming.on('end', () => outgoing.writeHead(503, { connection: 'close', 'auburnpin-refused': 'leaving' }).end())
  }

  #refuseBusy (incoming: IncomingMessage, outgoing: ServerResponse): void {
    this.#refusals++
    incoming.resume()
    outgoing.writeHead(503, { 'auburnpin-refused': 'busy' }).end()
  }

  async #execute (incoming: IncomingMessage, outgoing: ServerResponse, fault: EndpointFault): Promise<void> {
    let size = 0
    for await (const chunk of incoming) size += (chunk as Buffer).length
    const { method = '', url: path = '', headers } = incoming
    this.#handledRequests.push({ requestId: String(headers['auburnpin-request-id'] ?? ''), method, path, headers })
    await new Promise(resolve => setTimeout(resolve, this.#serviceMs))
    if (fault === 'cut-after') return void incoming.socket.destroy()
    const bytes = Number(/[?&]bytes=(\d+)/.exec(path)?.[1] ?? 0)
    if (bytes > 0) await this.#respondInChunks(outgoing, bytes)
    else this.#respond(incoming, outgoing, fault, size)
  }

  #respond (incoming: IncomingMessage, outgoing: ServerResponse, fault: EndpointFault, size: number): void {
    const body = `${JSON.stringify({ path: incoming.url, requestId: incoming.headers['auburnpin-request-id'], bytes: size })}\n`
    const length = fault === 'cut-chunks' ? {} : { 'content-length': Buffer.byteLength(body) }
    outgoing.writeHead(200, { 'content-type': 'application/json', ...length })
    if (fault !== 'cut-answer' && fault !== 'cut-chunks') return void outgoing.end(body)
    outgoing.write(body.slice(0, body.length / 2))
    setImmediate(() => incoming.socket.destroy())
  }

  async #respondInChunks (outgoing: ServerResponse, bytes: number): Promise<void> {
    outgoing.writeHead(200, { 'content-type': 'application/octet-stream' })
    const closed = once(outgoing, 'close')
    for (let left = bytes; left > 0 && !outgoing.destroyed; left -= RESPONSE_CHUNK.length) {
      const chunk = RESPONSE_CHUNK.subarray(0, Math.min(left, RESPONSE_CHUNK.length))
      this.#bytesSent += chunk.length
      if (outgoing.write(chunk)) continue
      this.#blockedWrites++
      await Promise.race([once(outgoing, 'drain'), closed])
      this.#blockedWrites--
    }
    outgoing.end()
  }
}
