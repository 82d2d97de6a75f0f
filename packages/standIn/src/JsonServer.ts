/**
 * A small HTTP server on loopback that receives and returns JSON.
 */
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** A request with its complete body. */
export type StandInRequest = Readonly<{ method: string, path: string, query: URLSearchParams, body: Buffer }>

/** A response; objects are sent as JSON, buffers as they are. */
export type StandInResponse = Readonly<{ status: number, body: Buffer | object | null }>

/** Handles a request; `null` closes the connection without a response. */
export type StandInHandler = (request: StandInRequest) => Promise<StandInResponse | null> | StandInResponse | null

/** Passes every request to one handler. */
export class JsonServer {
  readonly #server: Server
  #address = ''

  constructor (handler: StandInHandler) {
    this.#server = createServer((incoming, outgoing) => { void handle(handler, incoming, outgoing) })
    this.#server.keepAliveTimeout = 60_000
  }

  /** IP address and port; empty until the server listens. */
  get address (): string {
    return this.#address
  }

  /** Listens on a loopback port and resolves to the address; port 0 selects any free port. */
  listen (port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, '127.0.0.1', () => {
        this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
        resolve(this.#address)
      })
    })
  }

  /** Closes all connections and stops listening. */
  close (): Promise<void> {
    return new Promise(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeAllConnections()
    })
  }
}

const handle = async (handler: StandInHandler, incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of incoming) chunks.push(chunk as Buffer)
  } catch {
    return
  }
  const url = new URL(incoming.url ?? '/', 'http://stand-in')
  const response = await handler({
    method: incoming.method ?? 'GET', path: decodeURIComponent(url.pathname), query: url.searchParams, body: Buffer.concat(chunks)
  })
  if (response === null) {
    incoming.socket.destroy()
    return
  }
  const body = Buffer.isBuffer(response.body) ? response.body : Buffer.from(response.body === null ? '' : JSON.stringify(response.body))
  const etag = `"${createHash('sha1').update(body).digest('base64url')}"`
  if (incoming.method === 'GET' && incoming.headers['if-none-match'] === etag) {
    outgoing.writeHead(304, { etag }).end()
    return
  }
  outgoing.writeHead(response.status, { 'content-length': body.length, etag })
  outgoing.end(body)
}
