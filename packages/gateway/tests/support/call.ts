/**
 * HTTP client for tests.
 */
import { Agent, request, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { splitAddress } from '@auburnpin/ports'

/** A response as the caller received it; `isWhole` is false if it was cut short. */
export type ReceivedResponse = Readonly<{ status: number, headers: IncomingHttpHeaders, body: string, isWhole: boolean }>

/** Parts of a request beside its address and path. */
export type RequestOptions = Readonly<{ method?: string, headers?: Record<string, string>, body?: string | Buffer, agent?: Agent }>

/** Sends a request and reads the complete response; status 0 if none started. */
export const call = (address: string, path: string, options: RequestOptions = {}): Promise<ReceivedResponse> => new Promise(resolve => {
  const [host, port] = splitAddress(address)
  const { method = 'GET', headers = {}, body, agent } = options
  const outgoing = request({ host, port, path, method, headers, ...(agent === undefined ? {} : { agent }) }, incoming => {
    let text = ''
    const done = (): void => resolve({ status: incoming.statusCode ?? 0, headers: incoming.headers, body: text, isWhole: incoming.complete })
    incoming.on('data', (chunk: Buffer) => { text += chunk.toString() })
    incoming.on('end', done)
    incoming.on('error', done)
  })
  outgoing.on('error', () => resolve({ status: 0, headers: {}, body: '', isWhole: false }))
  outgoing.end(body)
})

/** Sends a request and resolves to its response with the body unread. */
export const open = (address: string, path: string): Promise<IncomingMessage> => new Promise((resolve, reject) => {
  const [host, port] = splitAddress(address)
  request({ host, port, path, agent: false }, resolve).on('error', reject).end()
})

/** Writes bytes to a new connection and resolves to everything received until it closes. */
export const sendRaw = (address: string, bytes: string): Promise<string> => new Promise(resolve => {
  const [host, port] = splitAddress(address)
  const socket = connect(port, host, () => socket.write(bytes))
  let text = ''
  socket.on('data', chunk => { text += chunk.toString() })
  socket.on('error', () => {})
  socket.on('close', () => resolve(text))
})

const UNTIL_TIMEOUT_MS = 30_000
const UNTIL_INTERVAL_MS = 5

/** Resolves once the condition holds; rejects after half a minute. */
export const until = async (condition: () => boolean): Promise<void> => {
  const deadline = performance.now() + UNTIL_TIMEOUT_MS
  while (!condition()) {
    if (performance.now() > deadline) throw new Error('The condition did not hold in time')
    await new Promise(resolve => setTimeout(resolve, UNTIL_INTERVAL_MS))
  }
}
