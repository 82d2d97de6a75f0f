/**
 * An endpoint on loopback that counts what it really ran.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** How an endpoint behaves towards the requests that come next. */
export type EndpointFault = 'none' | 'refusing' | 'silent' | 'cut-before' | 'cut-after' | 'cut-answer'

/** One request that the endpoint ran. */
export type EndpointRun = Readonly<{ requestId: string, method: string, path: string }>

/** Answers every request with a JSON line that names it. */
export class StandInEndpoint {
  readonly #server: Server
  readonly #serviceMs: number
  readonly #runs: EndpointRun[] = []
  #fault: EndpointFault = 'none'
  #busy = 0
  #mostBusy = 0
  #connections = 0
  #mostConnections = 0

  constructor (serviceMs: number) {
    this.#serviceMs = serviceMs
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

  /** Most requests worked on at a time. */
  get mostBusy (): number {
    return this.#mostBusy
  }

  /** Most connections open at a time. */
  get mostConnections (): number {
    return this.#mostConnections
  }

  setFault (fault: EndpointFault): void {
    this.#fault = fault
  }

  /** Listens and resolves to the address. */
  listen (port = 0): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, '127.0.0.1', () => resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`))
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
    if (fault === 'silent') return
    if (fault === 'cut-before') return void incoming.socket.destroy()
    if (fault === 'refusing') return void outgoing.writeHead(503, { connection: 'close', 'auburnpin-refused': 'leaving' }).end()
    this.#mostBusy = Math.max(this.#mostBusy, ++this.#busy)
    let size = 0
    try {
      for await (const chunk of incoming) size += (chunk as Buffer).length
    } catch {
      this.#busy--
      return
    }
    const requestId = String(incoming.headers['auburnpin-request-id'] ?? '')
    this.#runs.push({ requestId, method: incoming.method ?? '', path: incoming.url ?? '' })
    await new Promise(resolve => setTimeout(resolve, this.#serviceMs))
    this.#busy--
    this.#answer(incoming, outgoing, fault, size)
  }

  #answer (incoming: IncomingMessage, outgoing: ServerResponse, fault: EndpointFault, size: number): void {
    if (fault === 'cut-after') return void incoming.socket.destroy()
    const body = `${JSON.stringify({ path: incoming.url, requestId: incoming.headers['auburnpin-request-id'], bytes: size })}\n`
    outgoing.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    if (fault !== 'cut-answer') return void outgoing.end(body)
    outgoing.write(body.slice(0, body.length / 2))
    setImmediate(() => incoming.socket.destroy())
  }
}
