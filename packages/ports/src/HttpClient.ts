/**
 * Small requests with small answers over Node's `http`, for the platform's services.
 */
import { Agent, request } from 'node:http'
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import { MAX_ANSWER_BYTES } from './constants.ts'

/** A request to the platform; `address` is an IP number and port. */
export type HttpCall = Readonly<{
  address: string
  method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  path: string
  body?: Uint8Array | string
  headers?: Readonly<Record<string, string>>
  timeoutMs: number
}>

/** Status and whole body of an answer, with the entity tag if the service gives one. */
export type HttpAnswer = Readonly<{ status: number, body: Buffer, etag?: string }>

const IDLE_SOCKET_MS = 4_000

/** Sends calls over kept-alive connections. */
export class HttpClient {
  readonly #agent: Agent

  constructor (maxSockets: number) {
    this.#agent = new Agent({ keepAlive: true, maxSockets, timeout: IDLE_SOCKET_MS, scheduling: 'lifo' })
  }

  /**
   * Sends one call. `unreachable`: surely without effect, as no byte left or as it was a reading; `unknown-outcome`: it may have taken effect.
   *
   * @example
   * const answer = await client.send({ address: '127.0.0.1:9000', method: 'GET', path: '/vms', timeoutMs: 1_000 })
   */
  send (call: HttpCall): Promise<Result<HttpAnswer, AuburnpinError>> {
    return new Promise(resolve => {
      const [host, port] = splitAddress(call.address)
      let isConnected = false
      const fail = (error: Error): void => {
        clearTimeout(timer)
        resolve(Err(describeFailure(call, error, isConnected)))
      }
      const outgoing = request({
        agent: this.#agent, host, port, method: call.method, path: call.path, headers: bodyHeaders(call)
      }, incoming => {
        const chunks: Buffer[] = []
        let size = 0
        incoming.on('data', (chunk: Buffer) => {
          size += chunk.length
          if (size > MAX_ANSWER_BYTES) incoming.destroy(new Error('The answer is too large'))
          chunks.push(chunk)
        })
        incoming.on('error', fail)
        incoming.on('end', () => {
          clearTimeout(timer)
          resolve(Ok({ status: incoming.statusCode ?? 0, body: Buffer.concat(chunks), etag: incoming.headers.etag }))
        })
      })
      const timer = setTimeout(() => outgoing.destroy(new Error(`No answer within ${call.timeoutMs} ms`)), call.timeoutMs)
      outgoing.on('socket', socket => {
        if (!socket.connecting) isConnected = true
        else socket.once('connect', () => { isConnected = true })
      })
      outgoing.on('error', fail)
      outgoing.end(call.body)
    })
  }

  /** Closes idle connections. */
  close (): void {
    this.#agent.destroy()
  }
}

const bodyHeaders = (call: HttpCall): Record<string, string | number> => {
  if (call.body === undefined) return { ...call.headers }
  return { ...call.headers, 'content-length': Buffer.byteLength(call.body) }
}

const describeFailure = (call: HttpCall, error: Error, isConnected: boolean): AuburnpinError => {
  const what = `${call.method} ${call.path} at ${call.address}: ${error.message}`
  if (call.method === 'GET') return new AuburnpinError('unreachable', what, 'Nothing was changed; check that the service runs, then ask again.', { cause: error })
  if (isConnected) return new AuburnpinError('unknown-outcome', what, 'Read back before you repeat it.', { cause: error })
  return new AuburnpinError('unreachable', what, 'Check that the address is right and that the service runs.', { cause: error })
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
