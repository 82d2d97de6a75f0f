/**
 * A caller's side of one request, for tests.
 */
import { Agent, request, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import { connect } from 'node:net'
import { splitAddress } from '@auburnpin/ports'

/** What came back. */
export type Answer = Readonly<{ status: number, headers: IncomingHttpHeaders, body: string, isWhole: boolean }>

/** What is sent. */
export type Sending = Readonly<{ method?: string, headers?: Record<string, string>, body?: string | Buffer, agent?: Agent }>

/** Sends a request and reads the whole answer; status 0 when none began. */
export const call = (address: string, path: string, sending: Sending = {}): Promise<Answer> => new Promise(resolve => {
  const [host, port] = splitAddress(address)
  const { method = 'GET', headers = {}, body, agent } = sending
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

/** Sends a request and hands its answer over unread. */
export const open = (address: string, path: string): Promise<IncomingMessage> => new Promise((resolve, reject) => {
  const [host, port] = splitAddress(address)
  request({ host, port, path, agent: false }, resolve).on('error', reject).end()
})

/** Writes bytes to a fresh connection and resolves to all that came back. */
export const sendRaw = (address: string, bytes: string): Promise<string> => new Promise(resolve => {
  const [host, port] = splitAddress(address)
  const socket = connect(port, host, () => socket.write(bytes))
  let text = ''
  socket.on('data', chunk => { text += chunk.toString() })
  socket.on('error', () => {})
  socket.on('close', () => resolve(text))
})

const PATIENCE_MS = 30_000
const LOOK_MS = 5

/** Resolves once the condition holds; rejects when it does not in half a minute. */
export const until = async (condition: () => boolean): Promise<void> => {
  const deadline = performance.now() + PATIENCE_MS
  while (!condition()) {
    if (performance.now() > deadline) throw new Error('The awaited state did not come')
    await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }
}
