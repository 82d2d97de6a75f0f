/**
 * Peer connections over WebSockets: each member opens one connection to every other member and sends its own
 * requests on it.
 */
import type { AddressInfo } from 'node:net'
import { WebSocket, WebSocketServer } from 'ws'
import {
  AuburnpinError, Err, Ok, toAuburnpinError, type Clock, type Log, type MemberId, type Random, type Result
} from '@auburnpin/common'
import { OLDEST_PEER_PROTOCOL, MAX_PEER_MESSAGE_BYTES, PEER_PROTOCOL, PEER_RECONNECT_MS, PEER_REPLY_TIMEOUT_MS } from './constants.ts'
import { PeerConnection, type ConnectionHandlers } from './PeerConnection.ts'
import { PeerHandshake } from './PeerHandshake.ts'
import { Peers, type NoticeHandler, type RequestHandler } from './Peers.ts'
import type { PeerStream } from './PeerStream.ts'
import type { StreamHandler, StreamPeers } from './StreamPeers.ts'
import type { PeerKey, PeerNotice, PeerReply, PeerRequest } from './types.ts'

// Each frame is handled in its own turn of the event loop, so that none is missed between the handshake and the
// listeners of `PeerConnection`.
const SOCKET_OPTIONS = { maxPayload: MAX_PEER_MESSAGE_BYTES, perMessageDeflate: false, allowSynchronousEvents: false }

/** This member's identity, listener and keys. */
export type PeerOptions = Readonly<{
  member: MemberId
  host: string
  port: number
  /** The first key authenticates this member; all are accepted from others. */
  keys: readonly PeerKey[]
  /** Addresses of peer listeners to connect to while no member is known, for example in an outage of the store. */
  contacts?: readonly string[]
  /** The protocol versions that this member supports. */
  protocols?: Readonly<{ newest: number, oldest: number }>
}>

/** Connections to all members, with the `ws` package. */
export class WebSocketPeers extends Peers implements StreamPeers {
  readonly #options: PeerOptions
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #outgoing = new Map<MemberId, PeerConnection>()
  readonly #incoming = new Set<PeerConnection>()
  readonly #noticeHandlers: NoticeHandler[] = []
  readonly #activeTargets = new Set<string>()
  readonly #handshake: PeerHandshake
  #keys: readonly PeerKey[]
  #address = ''
  #members: ReadonlyMap<MemberId, string> = new Map()
  #handleRequest: RequestHandler = async () => ({ kind: 'failed', error: STARTING_ERROR.toReport() })
  #handleStream: StreamHandler = (_head, stream) => { stream.destroy(STARTING_ERROR) }
  #server: WebSocketServer | undefined
  #isClosed = false

  constructor (options: PeerOptions, clock: Clock, random: Random, log: Log) {
    super()
    this.#options = options
    this.#clock = clock
    this.#random = random
    this.#log = log
    this.#keys = options.keys
    const protocols = options.protocols ?? { newest: PEER_PROTOCOL, oldest: OLDEST_PEER_PROTOCOL }
    this.#handshake = new PeerHandshake({ member: options.member, keys: () => this.#keys, ...protocols }, clock, random)
  }

  /** Replaces the keys; open connections stay open. */
  setKeys (keys: readonly PeerKey[]): void {
    this.#keys = keys
  }

  /** Opens the listener and resolves to its address. */
  listen (): Promise<string> {
    const { host, port } = this.#options
    return new Promise((resolve, reject) => {
      const server = new WebSocketServer({ host, port, ...SOCKET_OPTIONS })
      this.#server = server
      server.once('error', reject)
      server.once('listening', () => {
        this.#address = `${host}:${(server.address() as AddressInfo).port}`
        this.#connectToContacts()
        resolve(this.#address)
      })
      server.on('connection', socket => { void this.#accept(socket) })
    })
  }

  async request (to: MemberId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> {
    if (to === this.#options.member) return Ok(await this.#answer(request, to))
    const connection = this.#outgoing.get(to)
    if (connection === undefined) return Err(notConnectedError(to))
    return await connection.request(request)
  }

  broadcast (notice: PeerNotice): void {
    for (const handler of this.#noticeHandlers) handler(notice, this.#options.member)
    for (const connection of this.#outgoing.values()) connection.notify(notice)
  }

  openStream (to: MemberId, head: unknown): Result<PeerStream, AuburnpinError> {
    const connection = this.#outgoing.get(to)
    return connection === undefined ? Err(notConnectedError(to)) : Ok(connection.openStream(head))
  }

  onStream (handler: StreamHandler): void {
    this.#handleStream = handler
  }

  onRequest (handler: RequestHandler): void {
    this.#handleRequest = handler
  }

  onNotice (handler: NoticeHandler): void {
    this.#noticeHandlers.push(handler)
  }

  setMembers (members: ReadonlyMap<MemberId, string>): void {
    this.#members = members
    for (const [member, connection] of this.#outgoing) {
      if (!members.has(member)) connection.close()
    }
    for (const member of members.keys()) this.#connectToMember(member)
  }

  get reachable (): readonly MemberId[] {
    return [this.#options.member, ...this.#outgoing.keys()]
  }

  get others (): readonly MemberId[] {
    return [...this.#outgoing.keys()]
  }

  /** Closes all connections and the listener. */
  async close (): Promise<void> {
    this.#isClosed = true
    for (const connection of this.#outgoing.values()) connection.close()
    for (const connection of this.#incoming) connection.close()
    const server = this.#server
    if (server === undefined) return
    for (const socket of server.clients) socket.terminate()
    await new Promise<void>(resolve => { server.close(() => resolve()) })
  }

  #connectToMember (member: MemberId): void {
    const address = this.#members.get(member)
    const isNeeded = address !== undefined && member !== this.#options.member && !this.#outgoing.has(member)
    if (isNeeded) this.#open(address, member, () => this.#connectToMember(member))
  }

  // Only until a connection to a member is open: after that, the members' rows contain the addresses of the others.
  #connectToContacts (): void {
    if (this.#isClosed || this.#members.size > 0 || this.#outgoing.size > 0) return
    for (const address of this.#options.contacts ?? []) {
      if (address !== this.#address) this.#open(address, undefined, () => this.#connectToContacts())
    }
  }

  /** Opens a connection to an address; calls `onClose` after a delay with jitter once the socket has closed. */
  #open (address: string, member: MemberId | undefined, onClose: () => void): void {
    const target = member ?? address
    if (this.#activeTargets.has(target) || this.#isClosed) return
    this.#activeTargets.add(target)
    const socket = new WebSocket(`ws://${address}`, { ...SOCKET_OPTIONS, handshakeTimeout: PEER_REPLY_TIMEOUT_MS })
    socket.on('error', () => socket.terminate())
    socket.on('close', () => {
      this.#activeTargets.delete(target)
      this.#clock.after(PEER_RECONNECT_MS * (1 + this.#random.fraction()), onClose)
    })
    void this.#authenticate(socket, member, address)
  }

  async #authenticate (socket: WebSocket, member: MemberId | undefined, address: string): Promise<void> {
    const outcome = await this.#handshake.connect(socket, member)
    if (outcome.kind === 'refused') {
      this.#log.debug('A peer connection could not be opened', { address, reason: outcome.reason })
      return
    }
    // A contact may be a member that is connected already, or this process itself.
    if (this.#outgoing.has(outcome.member) || outcome.member === this.#options.member || this.#isClosed) {
      socket.terminate()
      return
    }
    const connection = new PeerConnection(socket, outcome.member, this.#clock, this.#handlers(closed => {
      if (this.#outgoing.get(closed.member) === closed) this.#outgoing.delete(closed.member)
    }))
    this.#outgoing.set(outcome.member, connection)
  }

  async #accept (socket: WebSocket): Promise<void> {
    socket.on('error', () => socket.terminate())
    const outcome = await this.#handshake.accept(socket)
    if (outcome.kind === 'refused') {
      this.#log.warn('Refused a peer connection', { reason: outcome.reason })
      return
    }
    this.#incoming.add(new PeerConnection(socket, outcome.member, this.#clock, this.#handlers(connection => this.#incoming.delete(connection))))
  }

  #handlers (onClose: (connection: PeerConnection) => void): ConnectionHandlers {
    return {
      onRequest: (request, from) => this.#answer(request, from),
      onNotice: (frame, from) => {
        for (const handler of this.#noticeHandlers) handler(frame.notice, from)
      },
      onStream: (...opened) => this.#handleStream(...opened),
      onClose
    }
  }

  async #answer (request: PeerRequest, from: MemberId): Promise<PeerReply> {
    try {
      return await this.#handleRequest(request, from)
    } catch (thrown) {
      const error = toAuburnpinError(thrown, 'unknown-outcome', 'See the log of the member that handled the request.')
      this.#log.error(error.message, { request: request.kind })
      return { kind: 'failed', error: error.toReport() }
    }
  }
}

const notConnectedError = (to: MemberId): AuburnpinError =>
  new AuburnpinError('unreachable', `There is no connection to member ${to}`, 'Try again in a moment; the connection is opened again automatically.')

const STARTING_ERROR = new AuburnpinError('unreachable', 'The member is still starting up', 'Try again in a moment.')
