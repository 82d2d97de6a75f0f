/**
 * One open, authenticated connection between two members.
 */
import type { WebSocket } from 'ws'
import { AuburnpinError, Err, Ok, type Clock, type Instant, type MemberId, type Result, type Timer } from '@auburnpin/common'
import { MAX_PEER_BUFFER_BYTES, PEER_HEARTBEAT_MS, PEER_IDLE_TIMEOUT_MS, PEER_REPLY_TIMEOUT_MS } from './constants.ts'
import { packFrame, unpackFrame, type PeerFrame } from './PeerFrame.ts'
import type { PeerStream } from './PeerStream.ts'
import { PeerStreams } from './PeerStreams.ts'
import type { StreamHandler } from './StreamPeers.ts'
import type { PeerNotice, PeerReply, PeerRequest } from './types.ts'

type PendingRequest = Readonly<{ resolve: (result: Result<PeerReply, AuburnpinError>) => void, timer: Timer }>

/** Called with what a connection receives, and when it closes. */
export type ConnectionHandlers = Readonly<{
  onRequest: (request: PeerRequest, from: MemberId) => Promise<PeerReply>
  onNotice: (frame: Extract<PeerFrame, { kind: 'notice' }>, from: MemberId) => void
  onStream: StreamHandler
  onClose: (connection: PeerConnection) => void
}>

/** Matches replies to requests by id, and closes the connection when nothing is received for `PEER_IDLE_TIMEOUT_MS`. */
export class PeerConnection {
  readonly #socket: WebSocket
  readonly #member: MemberId
  readonly #clock: Clock
  readonly #handlers: ConnectionHandlers
  readonly #pending = new Map<number, PendingRequest>()
  readonly #streams: PeerStreams
  #nextId = 1
  #lastReceivedAt: Instant
  #heartbeat: Timer

  constructor (socket: WebSocket, member: MemberId, clock: Clock, handlers: ConnectionHandlers) {
    this.#socket = socket
    this.#member = member
    this.#clock = clock
    this.#handlers = handlers
    this.#streams = new PeerStreams(frame => this.send(frame), (head, stream, confirmed) => handlers.onStream(head, stream, confirmed, member))
    this.#lastReceivedAt = clock.now()
    this.#heartbeat = clock.after(PEER_HEARTBEAT_MS, () => this.#sendHeartbeat())
    socket.on('message', (data: Buffer) => this.#receive(data))
    socket.on('close', () => this.#onClosed())
    socket.on('error', () => socket.terminate())
  }

  get member (): MemberId {
    return this.#member
  }

  /** Sends a request and waits for the reply. */
  request (request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> {
    if (this.#isCongested) return Promise.resolve(Err(congestedError(this.#member)))
    const id = this.#nextId++
    return new Promise(resolve => {
      const timer = this.#clock.after(PEER_REPLY_TIMEOUT_MS, () => this.#settle(id, Err(noReplyError(this.#member))))
      this.#pending.set(id, { resolve, timer })
      this.send({ kind: 'request', id, request })
    })
  }

  /** Sends a notice; dropped on a congested connection, because anti-entropy makes up for lost notices. */
  notify (notice: PeerNotice): void {
    if (!this.#isCongested) this.send({ kind: 'notice', notice })
  }

  /** Opens a stream; only on a connection that this side has opened. */
  openStream (head: unknown): PeerStream {
    return this.#streams.open(head)
  }

  send (frame: PeerFrame): void {
    this.#socket.send(packFrame(frame))
  }

  close (): void {
    this.#socket.terminate()
  }

  get #isCongested (): boolean {
    return this.#socket.bufferedAmount > MAX_PEER_BUFFER_BYTES
  }

  #sendHeartbeat (): void {
    if (this.#clock.now() - this.#lastReceivedAt > PEER_IDLE_TIMEOUT_MS) {
      this.#socket.terminate()
      return
    }
    this.send({ kind: 'heartbeat' })
    this.#heartbeat = this.#clock.after(PEER_HEARTBEAT_MS, () => this.#sendHeartbeat())
  }

  #receive (data: Buffer): void {
    this.#lastReceivedAt = this.#clock.now()
    const frame = unpackFrame(data)
    if (frame === undefined) {
      this.#socket.terminate()
      return
    }
    if (frame.kind === 'request') void this.#answer(frame.id, frame.request)
    else if (frame.kind === 'reply') this.#settle(frame.id, Ok(frame.reply))
    else if (frame.kind === 'stream') this.#streams.receive(frame)
    else if (frame.kind === 'notice') this.#handlers.onNotice(frame, this.#member)
  }

  async #answer (id: number, request: PeerRequest): Promise<void> {
    const reply = await this.#handlers.onRequest(request, this.#member)
    this.send({ kind: 'reply', id, reply })
  }

  // A late or duplicate reply finds no pending request and is dropped.
  #settle (id: number, result: Result<PeerReply, AuburnpinError>): void {
    const pending = this.#pending.get(id)
    if (pending === undefined) return
    this.#pending.delete(id)
    pending.timer.cancel()
    pending.resolve(result)
  }

  #onClosed (): void {
    this.#heartbeat.cancel()
    for (const id of [...this.#pending.keys()]) this.#settle(id, Err(noReplyError(this.#member)))
    this.#streams.close()
    this.#handlers.onClose(this)
  }
}

const noReplyError = (member: MemberId): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `Member ${member} did not reply`, 'Try again; the request may have taken effect.')

const congestedError = (member: MemberId): AuburnpinError =>
  new AuburnpinError('unreachable', `The connection to member ${member} is congested`, 'Try again in a moment; a connection that stays blocked is closed and opened again.')
