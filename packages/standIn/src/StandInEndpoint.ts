/**
 * An endpoint on loopback that counts what it really ran.
 */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** How an endpoint behaves towards the requests that come next. */
export type EndpointFault =
  | 'none'
  /** Says that it leaves. */
  | 'refusing'
  /** Takes the bytes and never answers. */
  | 'silent'
  | 'cut-before'
  | 'cut-after'
  /** Breaks off within an answer of a known length. */
  | 'cut-answer'
  /** Breaks off within an answer in chunks. */
  | 'cut-chunks'
  /** Resets a connection that has already served a request. */
  | 'reset-reused'

/** One request that the endpoint ran. */
export type EndpointRun = Readonly<{ requestId: string, method: string, path: string, headers: IncomingMessage['headers'] }>

/** An endpoint takes this many requests at a time unless told otherwise. */
const DEFAULT_SLOTS = 8
const BLOCK = Buffer.alloc(64 * 1024, 'b')

/** Answers every request with a JSON line that names it, or with `?bytes=N` with so many bytes in chunks. */
export class StandInEndpoint {
  readonly #server: Server
  readonly #serviceMs: number
  readonly #slots: number
  readonly #runs: EndpointRun[] = []
  readonly #used = new WeakSet<Socket>()
  #fault: EndpointFault = 'none'
  #busy = 0
  #mostBusy = 0
  #connections = 0
  #mostConnections = 0
  #refusals = 0
  #bytesAnswered = 0
  #heldBack = 0

  constructor (serviceMs: number, slots = DEFAULT_SLOTS) {
    this.#serviceMs = serviceMs
    this.#slots = slots
    this.#server = createServer((incoming, outgoing) => { void this.#handle(incoming, outgoing) })
    this.#server.keepAliveTimeout = 60_000
    this.#server.on('connection', socket => {
      this.#mostConnections = Math.max(this.#mostConnections, ++this.#connections)
      socket.on('close', () => { this.#connections-- })
    })
  }

  /** Everything that was run, in order. */
  get runs (): readonly EndpointRun[] {
    return this.#runs
  }

  /** Requests worked on now. */
  get busy (): number {
    return this.#busy
  }

  /** Most requests worked on at a time. */
  get mostBusy (): number {
    return this.#mostBusy
  }

  /** Most connections open at a time. */
  get mostConnections (): number {
    return this.#mostConnections
  }

  /** Requests refused because all slots were taken. */
  get refusals (): number {
    return this.#refusals
  }

  /** Bytes of answers in chunks that were handed to connections. */
  get bytesAnswered (): number {
    return this.#bytesAnswered
  }

  /** Whether an answer waits for its reader. */
  get isHeldBack (): boolean {
    return this.#heldBack > 0
  }

  setFault (fault: EndpointFault): void {
    this.#fault = fault
  }

  /** Listens and resolves to the address. */
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
    const isReused = this.#used.has(incoming.socket)
    this.#used.add(incoming.socket)
    if (fault === 'silent') return
    if (fault === 'cut-before') return void incoming.socket.destroy()
    if (fault === 'reset-reused' && isReused) return void incoming.socket.resetAndDestroy()
    if (fault === 'refusing') return this.#refuseLeaving(incoming, outgoing)
    if (this.#busy >= this.#slots) return this.#refuseBusy(incoming, outgoing)
    this.#mostBusy = Math.max(this.#mostBusy, ++this.#busy)
    try {
      await this.#work(incoming, outgoing, fault)
    } catch {
      incoming.socket.destroy()
    } finally {
      this.#busy--
    }
  }

  // The body is read first: closing over unread bytes resets the connection, and the refusal could be lost with it.
  #refuseLeaving (incoming: IncomingMessage, outgoing: ServerResponse): void {
    incoming.resume()
    incoming.on('end', () => outgoing.writeHead(503, { connection: 'close', 'auburnpin-refused': 'leaving' }).end())
  }

  #refuseBusy (incoming: IncomingMessage, outgoing: ServerResponse): void {
    this.#refusals++
    incoming.resume()
    outgoing.writeHead(503, { 'auburnpin-refused': 'busy' }).end()
  }

  async #work (incoming: IncomingMessage, outgoing: ServerResponse, fault: EndpointFault): Promise<void> {
    let size = 0
    for await (const chunk of incoming) size += (chunk as Buffer).length
    const { method = '', url: path = '', headers } = incoming
    this.#runs.push({ requestId: String(headers['auburnpin-request-id'] ?? ''), method, path, headers })
    await new Promise(resolve => setTimeout(resolve, this.#serviceMs))
    if (fault === 'cut-after') return void incoming.socket.destroy()
    const bytes = Number(/[?&]bytes=(\d+)/.exec(path)?.[1] ?? 0)
    if (bytes > 0) await this.#answerInChunks(outgoing, bytes)
    else this.#answer(incoming, outgoing, fault, size)
  }

  #answer (incoming: IncomingMessage, outgoing: ServerResponse, fault: EndpointFault, size: number): void {
    const body = `${JSON.stringify({ path: incoming.url, requestId: incoming.headers['auburnpin-request-id'], bytes: size })}\n`
    const length = fault === 'cut-chunks' ? {} : { 'content-length': Buffer.byteLength(body) }
    outgoing.writeHead(200, { 'content-type': 'application/json', ...length })
    if (fault !== 'cut-answer' && fault !== 'cut-chunks') return void outgoing.end(body)
    outgoing.write(body.slice(0, body.length / 2))
    setImmediate(() => incoming.socket.destroy())
  }

  async #answerInChunks (outgoing: ServerResponse, bytes: number): Promise<void> {
    outgoing.writeHead(200, { 'content-type': 'application/octet-stream' })
    const closed = once(outgoing, 'close')
    for (let left = bytes; left > 0 && !outgoing.destroyed; left -= BLOCK.length) {
      const chunk = BLOCK.subarray(0, Math.min(left, BLOCK.length))
      this.#bytesAnswered += chunk.length
      if (outgoing.write(chunk)) continue
      this.#heldBack++
      await Promise.race([once(outgoing, 'drain'), closed])
      this.#heldBack--
    }
    outgoing.end()
  }
}
