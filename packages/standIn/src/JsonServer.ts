/**
 * A small HTTP server of JSON messages on loopback.
 */
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** One request with its whole body. */
export type StandInRequest = Readonly<{ method: string, path: string, query: URLSearchParams, body: Buffer }>

/** One answer. */
export type StandInAnswer = Readonly<{ status: number, body: Buffer | object | null }>

/** Answers requests; `null` leaves the request without an answer. */
export type StandInHandler = (request: StandInRequest) => Promise<StandInAnswer | null> | StandInAnswer | null

/** Serves one handler at one address. */
export class JsonServer {
  readonly #server: Server
  #address = ''

  constructor (handler: StandInHandler) {
    this.#server = createServer((incoming, outgoing) => { void handle(handler, incoming, outgoing) })
    this.#server.keepAliveTimeout = 60_000
  }

  /** IP number and port, once listening. */
  get address (): string {
    return this.#address
  }

  /** Listens on a loopback port; 0 takes any free one. */
  listen (port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, '127.0.0.1', () => {
        this.#address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
        resolve(this.#address)
      })
    })
  }

  /** Cuts all connections and stops listening. */
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
  const answer = await handler({
    method: incoming.method ?? 'GET', path: decodeURIComponent(url.pathname), query: url.searchParams, body: Buffer.concat(chunks)
  })
  if (answer === null) {
    incoming.socket.destroy()
    return
  }
  const body = Buffer.isBuffer(answer.body) ? answer.body : Buffer.from(answer.body === null ? '' : JSON.stringify(answer.body))
  const etag = `"${createHash('sha1').update(body).digest('base64url')}"`
  if (incoming.method === 'GET' && incoming.headers['if-none-match'] === etag) {
    outgoing.writeHead(304, { etag }).end()
    return
  }
  outgoing.writeHead(answer.status, { 'content-length': body.length, etag })
  outgoing.end(body)
}
