/**
 * Closes callers' connections once they are surely idle.
 */
import type { Socket } from 'node:net'
import { QUIET_LOOKS } from './constants.ts'

type Quiet = Readonly<{ bytesRead: number, looks: number }>

/** Looks at connections again and again, and closes those that have been quiet for long enough. */
export class IdleSockets {
  readonly #sockets: ReadonlySet<Socket>
  readonly #quiet = new WeakMap<Socket, Quiet>()

  constructor (sockets: ReadonlySet<Socket>) {
    this.#sockets = sockets
  }

  /** Looks once; connections with a request in progress are left alone. */
  closeQuiet (serving: ReadonlySet<Socket>): void {
    for (const socket of this.#sockets) {
      const looks = serving.has(socket) ? 0 : this.#count(socket)
      if (looks >= QUIET_LOOKS) socket.destroy()
    }
  }

  #count (socket: Socket): number {
    const { bytesRead } = socket
    const before = this.#quiet.get(socket)
    const looks = before?.bytesRead === bytesRead ? before.looks + 1 : 0
    this.#quiet.set(socket, { bytesRead, looks })
    return looks
  }
}
