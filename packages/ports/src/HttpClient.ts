/**
 * An HTTP client for the platform's services, for requests and responses that fit in memory.
 */
import { Agent, request as httpRequest, type ClientRequest } from 'node:http'
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import { MAX_RESPONSE_BYTES } from './constants.ts'

/** A request to the platform; `address` is an IP number and port. */
export type HttpRequest = Readonly<{
  address: string
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  body?: Uint8Array | string
  headers?: Readonly<Record<string, string>>
  timeoutMs: number
  /** If set, `timeoutMs` limits the time without a further byte of the response, and this the whole call. */
  wholeTimeoutMs?: number
}>

/** Status and complete body of a response, with the entity tag if the service sends one. */
export type HttpResponse = Readonly<{ status: number, body: Buffer, etag?: string }>

const IDLE_SOCKET_MS = 4_000

/** Sends requests over keep-alive connections. */
export class HttpClient {
  readonly #agent: Agent

  constructor (maxSockets: number) {
    this.#agent = new Agent({ keepAlive: true, maxSockets, timeout: IDLE_SOCKET_MS, scheduling: 'lifo' })
  }

  /**
   * Sends one request. Errors: `unreachable` if it had no effect, because it was not sent or is a GET;
   * `unknown-outcome` if it may have taken effect.
   *
   * @example
   * const response = await client.send({ address: '127.0.0.1:9000', method: 'GET', path: '/vms', timeoutMs: 1_000 })
   */
  send (request: HttpRequest): Promise<Result<HttpResponse, AuburnpinError>> {
    return new Promise(resolve => {
      let isConnected = false
      const fail = (error: Error): void => {
        timers.forEach(clearTimeout)
        resolve(Err(describeFailure(request, error, isConnected)))
      }
      const outgoing = this.#createRequest(request)
      if (outgoing instanceof Error) {
        resolve(Err(new AuburnpinError('unreachable', `${request.method} ${request.path} at ${request.address}: ${outgoing.message}`, 'Correct the address or the request; nothing was sent.', { cause: outgoing })))
        return
      }
      // A request that waits for a connection reports its end only once it gets one.
      const giveUp = (what: string): void => {
        const error = new Error(what)
        outgoing.destroy(error)
        fail(error)
      }
      outgoing.on('response', incoming => {
        const chunks: Buffer[] = []
        let size = 0
        incoming.on('data', (chunk: Buffer) => {
          size += chunk.length
          if (request.wholeTimeoutMs !== undefined) progressTimer.refresh()
          if (size > MAX_RESPONSE_BYTES) incoming.destroy(new Error('The response is too large'))
          chunks.push(chunk)
        })
        incoming.on('error', fail)
        incoming.on('end', () => {
          timers.forEach(clearTimeout)
          resolve(Ok({ status: incoming.statusCode ?? 0, body: Buffer.concat(chunks), etag: incoming.headers.etag }))
        })
      })
      // While this process was busy a response may have arrived that has not been read yet. Timers run before sockets are
      // read, and immediates after, so the response gets one turn of the event loop.
      const startTimer = (ms: number, what: string): NodeJS.Timeout => setTimeout(() => setImmediate(giveUp, `${what} within ${ms} ms`), ms)
      const progressTimer = startTimer(request.timeoutMs, request.wholeTimeoutMs === undefined ? 'No response' : 'No further byte')
      const timers = request.wholeTimeoutMs === undefined ? [progressTimer] : [progressTimer, startTimer(request.wholeTimeoutMs, 'No whole response')]
      outgoing.on('socket', socket => {
        if (!socket.connecting) isConnected = true
        else socket.once('connect', () => { isConnected = true })
      })
      outgoing.on('error', fail)
      // Node hands over the connection, and the request itself ends without an error.
      outgoing.on('upgrade', (_response, socket) => {
        socket.destroy()
        fail(new Error('The response switches protocols'))
      })
      outgoing.end(request.body)
    })
  }

  // An address, a path or a header that cannot be sent makes Node throw.
  #createRequest (request: HttpRequest): ClientRequest | Error {
    const [host, port] = splitAddress(request.address)
    try {
      return httpRequest({ agent: this.#agent, host, port, method: request.method, path: request.path, headers: bodyHeaders(request) })
    } catch (thrown) {
      return thrown instanceof Error ? thrown : new Error(String(thrown))
    }
  }

  /** Closes idle connections. */
  close (): void {
    this.#agent.destroy()
  }
}

const bodyHeaders = (request: HttpRequest): Record<string, string | number> => {
  if (request.body === undefined) return { ...request.headers }
  return { ...request.headers, 'content-length': Buffer.byteLength(request.body) }
}

const describeFailure = (request: HttpRequest, error: Error, isConnected: boolean): AuburnpinError => {
  const what = `${request.method} ${request.path} at ${request.address}: ${error.message}`
  if (request.method === 'GET') return new AuburnpinError('unreachable', what, 'Nothing was changed; check that the service is running, then try again.', { cause: error })
  if (isConnected) return new AuburnpinError('unknown-outcome', what, 'Read the current state before you repeat it.', { cause: error })
  return new AuburnpinError('unreachable', what, 'Check that the address is right and that the service is running.', { cause: error })
}

/**
 * Splits `IP:port`.
 *
 * @example
 * splitAddress('127.0.0.1:8080') // ['127.0.0.1', 8080]
 */
export const splitAddress = (address: string): readonly [host: string, port: number] => {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
