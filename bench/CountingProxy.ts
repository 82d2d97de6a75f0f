/**
 * A loopback proxy that counts the bytes of one connection pool in both directions.
 */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { splitAddress } from '@auburnpin/ports'

/** Forwards all bytes between its clients and the target, and counts them. */
export class CountingProxy {
  readonly #target: string
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #bytes = 0

  constructor (target: string) {
    this.#target = target
    this.#server = createServer(socket => this.#relay(socket))
  }

  /** Bytes forwarded so far, in both directions. */
  get bytes (): number {
    return this.#bytes
  }

  listen (): Promise<string> {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`))
    })
  }

  close (): void {
    for (const socket of this.#sockets) socket.destroy()
    this.#server.close()
  }

  #relay (incoming: Socket): void {
    const [host, port] = splitAddress(this.#target)
    const outgoing = connect(port, host)
    for (const socket of [incoming, outgoing]) {
      this.#sockets.add(socket)
      socket.on('data', (chunk: Buffer) => { this.#bytes += chunk.length })
      socket.on('error', () => socket.destroy())
    }
    incoming.pipe(outgoing).pipe(incoming)
  }
}
