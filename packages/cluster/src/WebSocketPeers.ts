/**
 * Peer links over WebSockets: each member opens one link to every other and sends its own questions on it.
 */
import type { AddressInfo } from 'node:net'
import { WebSocket, WebSocketServer } from 'ws'
import {
  AuburnpinError, Err, Ok, toAuburnpinError, type Clock, type Log, type MemberId, type Random, type Result
} from '@auburnpin/common'
import { OLDEST_PEER_PROTOCOL, PEER_MESSAGE_BYTES, PEER_PROTOCOL, PEER_RETRY_MS, PEER_TIMEOUT_MS } from './constants.ts'
import { PeerConnection, type ConnectionHandlers } from './PeerConnection.ts'
import { PeerHandshake } from './PeerHandshake.ts'
import { Peers, type NoticeHandler, type RequestHandler } from './Peers.ts'
import type { PeerStream } from './PeerStream.ts'
import type { StreamHandler, StreamPeers } from './StreamPeers.ts'
import type { PeerKey, PeerNotice, PeerReply, PeerRequest } from './types.ts'

// Frames that come together are handled in separate turns, so that none is missed between handshake and link.
const SOCKET_OPTIONS = { maxPayload: PEER_MESSAGE_BYTES, perMessageDeflate: false, allowSynchronousEvents: false }

/** What the links need to know of their own process. */
export type PeerOptions = Readonly<{
  member: MemberId
  host: string
  port: number
  /** The first key proves this member; all are accepted from others. */
  keys: readonly PeerKey[]
  /** Addresses of peer listeners to ask while no member is known, as in an outage of the store. */
  contacts?: readonly string[]
  /** The protocols that this member speaks. */
  protocols?: Readonly<{ newest: number, oldest: number }>
}>

/** Links to all members over `ws`. */
export class WebSocketPeers extends Peers implements StreamPeers {
  readonly #options: PeerOptions
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #links = new Map<MemberId, PeerConnection>()
  readonly #incoming = new Set<PeerConnection>()
  readonly #noticeHandlers: NoticeHandler[] = []
  readonly #dialling = new Set<string>()
  readonly #handshake: PeerHandshake
  #keys: readonly PeerKey[]
  #address = ''
  #members: ReadonlyMap<MemberId, string> = new Map()
  #handleRequest: RequestHandler = async () => ({ kind: 'failed', error: NOT_READY.toReport() })
  #handleStream: StreamHandler = (_head, stream) => { stream.destroy(NOT_READY) }
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

  /** Changes the keys; links that are open stay open. */
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
        this.#dialContacts()
        resolve(this.#address)
      })
      server.on('connection', socket => { void this.#accept(socket) })
    })
  }

  async request (to: MemberId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> {
    if (to === this.#options.member) return Ok(await this.#answer(request, to))
    const link = this.#links.get(to)
    if (link === undefined) return Err(noLink(to))
    return await link.request(request)
  }

  broadcast (notice: PeerNotice): void {
    for (const handler of this.#noticeHandlers) handler(notice, this.#options.member)
    for (const link of this.#links.values()) link.notify(notice)
  }

  openStream (to: MemberId, head: unknown): Result<PeerStream, AuburnpinError> {
    const link = this.#links.get(to)
    return link === undefined ? Err(noLink(to)) : Ok(link.openStream(head))
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
    for (const [member, link] of this.#links) {
      if (!members.has(member)) link.close()
    }
    for (const member of members.keys()) this.#dial(member)
  }

  get reachable (): readonly MemberId[] {
    return [this.#options.member, ...this.#links.keys()]
  }

  get others (): readonly MemberId[] {
    return [...this.#links.keys()]
  }

  /** Closes all links and the listener. */
  async close (): Promise<void> {
    this.#isClosed = true
    for (const link of this.#links.values()) link.close()
    for (const link of this.#incoming) link.close()
    const server = this.#server
    if (server === undefined) return
    for (const socket of server.clients) socket.terminate()
    await new Promise<void>(resolve => { server.close(() => resolve()) })
  }

  #dial (member: MemberId): void {
    const address = this.#members.get(member)
    const isNeeded = address !== undefined && member !== this.#options.member && !this.#links.has(member)
    if (isNeeded) this.#open(address, member, () => this.#dial(member))
  }

  // Only until a member answers: from then on the members tell where the others are.
  #dialContacts (): void {
    if (this.#isClosed || this.#members.size > 0 || this.#links.size > 0) return
    for (const address of this.#options.contacts ?? []) {
      if (address !== this.#address) this.#open(address, undefined, () => this.#dialContacts())
    }
  }

  /** Opens a link to an address, and asks again whether it is needed some time after it has closed. */
  #open (address: string, member: MemberId | undefined, onClose: () => void): void {
    const target = member ?? address
    if (this.#dialling.has(target) || this.#isClosed) return
    this.#dialling.add(target)
    const socket = new WebSocket(`ws://${address}`, { ...SOCKET_OPTIONS, handshakeTimeout: PEER_TIMEOUT_MS })
    socket.on('error', () => socket.terminate())
    socket.on('close', () => {
      this.#dialling.delete(target)
      this.#clock.after(PEER_RETRY_MS * (1 + this.#random.fraction()), onClose)
    })
    void this.#call(socket, member, address)
  }

  async #call (socket: WebSocket, member: MemberId | undefined, address: string): Promise<void> {
    const outcome = await this.#handshake.call(socket, member)
    if (outcome.kind === 'refused') {
      this.#log.debug('A link could not be opened', { address, reason: outcome.reason })
      return
    }
    // A contact may be a member that has a link already, or this very process.
    if (this.#links.has(outcome.member) || outcome.member === this.#options.member || this.#isClosed) {
      socket.terminate()
      return
    }
    const link = new PeerConnection(socket, outcome.member, this.#clock, this.#handlers(closed => {
      if (this.#links.get(closed.member) === closed) this.#links.delete(closed.member)
    }))
    this.#links.set(outcome.member, link)
  }

  async #accept (socket: WebSocket): Promise<void> {
    socket.on('error', () => socket.terminate())
    const outcome = await this.#handshake.listen(socket)
    if (outcome.kind === 'refused') {
      this.#log.warn('Refused a link', { reason: outcome.reason })
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
      const error = toAuburnpinError(thrown, 'unknown-outcome', 'See the log of the member that was asked.')
      this.#log.error(error.message, { request: request.kind })
      return { kind: 'failed', error: error.toReport() }
    }
  }
}

const noLink = (to: MemberId): AuburnpinError =>
  new AuburnpinError('unreachable', `There is no link to member ${to}`, 'Try again in a moment; the link is opened again by itself.')

const NOT_READY = new AuburnpinError('unreachable', 'The member is still starting', 'Try again in a moment.')
