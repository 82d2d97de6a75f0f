/**
 * An HTTP proxy before one worker. It passes all calls on; a part of the orders (starts, stops, paces) gets no response and
 * is passed on seconds later.
 */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http'
import type { SeededRandom } from '@auburnpin/common'

/** `share` of the orders is late, each by a random time between two bounds in milliseconds. */
export type Lateness = Readonly<{ share: number, fromMs: number, toMs: number, random: SeededRandom }>

const ORDERS: ReadonlySet<string> = new Set(['/auburnpin/run-start', '/auburnpin/run-stop', '/auburnpin/pace'])
const RESPONSE_MS = 5_000

export class LateOrders {
  readonly #host: string
  readonly #port: number
  readonly #server = createServer((incoming, response) => { void this.#pass(incoming, response) })
  /** Orders are late as long as this is set. */
  lateness: Lateness | undefined
  /** How many orders have come, and how many of them were late. */
  readonly counts = { orders: 0, late: 0 }
  /** Called when a late order is passed on, with the worker's answer. */
  onLate: (path: string, body: string, lateMs: number, answer: string) => void = () => {}

  /** `address`: that of the worker. */
  constructor (address: string) {
    const [host = '', port = ''] = address.split(':')
    this.#host = host
    this.#port = Number(port)
  }

  listen (): Promise<string> {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => {
        const address = this.#server.address()
        resolve(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`)
      })
    })
  }

  async #pass (incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming)
    if (body === undefined) return
    const path = incoming.url ?? ''
    if (ORDERS.has(path)) {
      this.counts.orders++
      if (this.lateness !== undefined && this.lateness.random.fraction() < this.lateness.share) {
        this.#passLate(incoming, path, body, this.lateness)
        return
      }
    }
    const outgoing = this.#open(incoming, path)
    // A caller that has left doesn't wait for an answer any more.
    response.once('close', () => outgoing.destroy())
    outgoing.on('response', answer => {
      response.writeHead(answer.statusCode ?? 502, answer.headers)
      answer.pipe(response)
      answer.on('error', () => incoming.socket.destroy())
    })
    outgoing.on('error', () => incoming.socket.destroy())
    outgoing.end(body)
  }

  // The channel stays open without a response until the caller gives up.
  #passLate (incoming: IncomingMessage, path: string, body: string, { fromMs, toMs, random }: Lateness): void {
    this.counts.late++
    const lateMs = Math.round(fromMs + (toMs - fromMs) * random.fraction())
    setTimeout(() => {
      const outgoing = this.#open(incoming, path)
      outgoing.setTimeout(RESPONSE_MS, () => outgoing.destroy())
      outgoing.on('response', answer => { void readBody(answer).then(text => this.onLate(path, body, lateMs, `${answer.statusCode ?? 0} ${text ?? ''}`)) })
      outgoing.on('error', () => this.onLate(path, body, lateMs, 'the worker is down'))
      outgoing.end(body)
    }, lateMs)
  }

  #open ({ method, headers }: IncomingMessage, path: string): ReturnType<typeof request> {
    return request({ host: this.#host, port: this.#port, method, path, headers: { ...headers, connection: 'close' }, agent: false })
  }
}

const readBody = async (message: IncomingMessage): Promise<string | undefined> => {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of message) chunks.push(chunk as Buffer)
  } catch {
    return undefined
  }
  return Buffer.concat(chunks).toString('utf8')
}
