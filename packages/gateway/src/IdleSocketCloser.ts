/**
 * Closes callers' idle connections while the server shuts down.
 */
import type { Socket } from 'node:net'
import { IDLE_CHECKS_BEFORE_CLOSE } from './constants.ts'

type SocketActivity = Readonly<{ bytesRead: number, idleChecks: number }>

/** Closes connections that received no bytes over several consecutive checks. */
export class IdleSocketCloser {
  readonly #sockets: ReadonlySet<Socket>
  readonly #activity = new WeakMap<Socket, SocketActivity>()

  constructor (sockets: ReadonlySet<Socket>) {
    this.#sockets = sockets
  }

  /** Runs one check. Connections in `busy`, which have a request in progress, stay open. */
  closeIdle (busy: ReadonlySet<Socket>): void {
    for (const socket of this.#sockets) {
      const idleChecks = busy.has(socket) ? 0 : this.#countIdleChecks(socket)
      if (idleChecks >= IDLE_CHECKS_BEFORE_CLOSE) socket.destroy()
    }
  }

  #countIdleChecks (socket: Socket): number {
    const { bytesRead } = socket
    const last = this.#activity.get(socket)
    const idleChecks = last?.bytesRead === bytesRead ? last.idleChecks + 1 : 0
    this.#activity.set(socket, { bytesRead, idleChecks })
    return idleChecks
  }
}
