/**
 * A TCP proxy that passes no more bytes a second than the link of a machine.
 */
import { connect, createServer, type Socket } from 'node:net'

const BYTES_PER_MBIT_MS = 125
/** A sender is stopped while this much waits, as links have small windows. */
const MAX_WAITING_BYTES = 65_536

class Direction {
  readonly #bytesPerMs: number
  #freeAt = 0

  constructor (mbps: number) {
    this.#bytesPerMs = mbps * BYTES_PER_MBIT_MS
  }

  forward (from: Socket, to: Socket): void {
    let waiting = 0
    from.on('data', (chunk: Buffer) => {
      const now = performance.now()
      this.#freeAt = Math.max(now, this.#freeAt) + chunk.length / this.#bytesPerMs
      waiting += chunk.length
      if (waiting >= MAX_WAITING_BYTES) from.pause()
      setTimeout(() => {
        waiting -= chunk.length
        if (waiting < MAX_WAITING_BYTES) from.resume()
        if (!to.destroyed) to.write(chunk)
      }, this.#freeAt - now)
    })
    from.on('end', () => setTimeout(() => to.end(), Math.max(0, this.#freeAt - performance.now()) + 1))
    from.on('error', () => to.destroy())
    from.on('close', () => setTimeout(() => to.destroy(), Math.max(0, this.#freeAt - performance.now()) + 10))
  }
}

/** Listens on a loopback address and forwards to `target`; resolves to its own address. */
export const openNarrowLink = (target: string, mbps: number): Promise<string> => {
  const [host = '', port] = target.split(':')
  const up = new Direction(mbps)
  const down = new Direction(mbps)
  const server = createServer({ noDelay: true }, client => {
    const upstream = connect({ host, port: Number(port), noDelay: true })
    up.forward(client, upstream)
    down.forward(upstream, client)
  })
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const address = server.address()
      resolve(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`)
    })
  })
}
