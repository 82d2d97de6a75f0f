/**
 * One open, authenticated connection between two members.
 */
import type { WebSocket } from 'ws'
import { AuburnpinError, Err, Ok, type Clock, type Instant, type MemberId, type Result, type Timer } from '@auburnpin/common'
import { PEER_BUFFER_BYTES, PEER_HEARTBEAT_MS, PEER_SILENCE_MS, PEER_TIMEOUT_MS } from './constants.ts'
import { packFrame, unpackFrame, type PeerFrame } from './PeerFrame.ts'
import type { PeerStream } from './PeerStream.ts'
import { PeerStreams } from './PeerStreams.ts'
import type { StreamHandler } from './StreamPeers.ts'
import type { PeerNotice, PeerReply, PeerRequest } from './types.ts'

type Pending = Readonly<{ resolve: (result: Result<PeerReply, AuburnpinError>) => void, timer: Timer }>

/** What a connection hands on. */
export type ConnectionHandlers = Readonly<{
  onRequest: (request: PeerRequest, from: MemberId) => Promise<PeerReply>
  onNotice: (frame: Extract<PeerFrame, { kind: 'notice' }>, from: MemberId) => void
  onStream: StreamHandler
  onClose: (connection: PeerConnection) => void
}>

/** Matches answers to questions by id and cuts the link when it falls silent. */
export class PeerConnection {
  readonly #socket: WebSocket
  readonly #member: MemberId
  readonly #clock: Clock
  readonly #handlers: ConnectionHandlers
  readonly #pending = new Map<number, Pending>()
  readonly #streams: PeerStreams
  #nextId = 1
  #lastHeard: Instant
  #heartbeat: Timer

  constructor (socket: WebSocket, member: MemberId, clock: Clock, handlers: ConnectionHandlers) {
    this.#socket = socket
    this.#member = member
    this.#clock = clock
    this.#handlers = handlers
    this.#streams = new PeerStreams(frame => this.send(frame), (head, stream, confirmed) => handlers.onStream(head, stream, confirmed, member))
    this.#lastHeard = clock.now()
    this.#heartbeat = clock.after(PEER_HEARTBEAT_MS, () => this.#beat())
    socket.on('message', (data: Buffer) => this.#receive(data))
    socket.on('close', () => this.#closed())
    socket.on('error', () => socket.terminate())
  }

  get member (): MemberId {
    return this.#member
  }

  /** Asks and waits for the answer. */
  request (request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> {
    if (this.#isFull) return Promise.resolve(Err(fullLink(this.#member)))
    const id = this.#nextId++
    return new Promise(resolve => {
      const timer = this.#clock.after(PEER_TIMEOUT_MS, () => this.#settle(id, Err(lostAnswer(this.#member))))
      this.#pending.set(id, { resolve, timer })
      this.send({ kind: 'request', id, request })
    })
  }

  /** Tells without an answer; dropped on a link that takes nothing more, for the next comparison makes it good. */
  notify (notice: PeerNotice): void {
    if (!this.#isFull) this.send({ kind: 'notice', notice })
  }

  /** Opens a stream; only on a link that this side has dialled. */
  openStream (head: unknown): PeerStream {
    return this.#streams.open(head)
  }

  send (frame: PeerFrame): void {
    this.#socket.send(packFrame(frame))
  }

  close (): void {
    this.#socket.terminate()
  }

  get #isFull (): boolean {
    return this.#socket.bufferedAmount > PEER_BUFFER_BYTES
  }

  #beat (): void {
    if (this.#clock.now() - this.#lastHeard > PEER_SILENCE_MS) {
      this.#socket.terminate()
      return
    }
    this.send({ kind: 'heartbeat' })
    this.#heartbeat = this.#clock.after(PEER_HEARTBEAT_MS, () => this.#beat())
  }

  #receive (data: Buffer): void {
    this.#lastHeard = this.#clock.now()
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

  // A late or repeated answer finds its question gone and is dropped.
  #settle (id: number, result: Result<PeerReply, AuburnpinError>): void {
    const pending = this.#pending.get(id)
    if (pending === undefined) return
    this.#pending.delete(id)
    pending.timer.cancel()
    pending.resolve(result)
  }

  #closed (): void {
    this.#heartbeat.cancel()
    for (const id of [...this.#pending.keys()]) this.#settle(id, Err(lostAnswer(this.#member)))
    this.#streams.close()
    this.#handlers.onClose(this)
  }
}

const lostAnswer = (member: MemberId): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `Member ${member} gave no answer`, 'Ask again; what was asked may have taken effect.')

const fullLink = (member: MemberId): AuburnpinError =>
  new AuburnpinError('unreachable', `The link to member ${member} takes nothing more`, 'Ask again in a moment; a link that stays stuck is cut and opened anew.')
