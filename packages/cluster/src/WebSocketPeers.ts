/**
 * Peer links over WebSockets: each member opens one link to every other and sends its own questions on it.
 */
import type { AddressInfo } from 'node:net'
import { WebSocket, WebSocketServer } from 'ws'
import {
  AuburnpinError, Err, Ok, toAuburnpinError, type Clock, type Log, type MemberId, type Random, type Result
} from '@auburnpin/common'
import { PEER_MESSAGE_BYTES, PEER_PROTOCOL, PEER_RETRY_MS, PEER_TIMEOUT_MS } from './constants.ts'
import { PeerConnection, type ConnectionHandlers } from './PeerConnection.ts'
import { packFrame, unpackFrame } from './PeerFrame.ts'
import { isProven, makeProof } from './peerProof.ts'
import { Peers, type NoticeHandler, type RequestHandler } from './Peers.ts'
import type { PeerStream } from './PeerStream.ts'
import type { StreamHandler, StreamPeers } from './StreamPeers.ts'
import type { PeerKey, PeerNotice, PeerReply, PeerRequest } from './types.ts'

const NONCE_LENGTH = 26

/** What the links need to know of their own process. */
export type PeerOptions = Readonly<{
  member: MemberId
  host: string
  port: number
  /** The first key proves this member; all are accepted from others. */
  keys: readonly PeerKey[]
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
  readonly #dialling = new Set<MemberId>()
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
  }

  /** Opens the listener and resolves to its address. */
  listen (): Promise<string> {
    const { host, port } = this.#options
    return new Promise((resolve, reject) => {
      const server = new WebSocketServer({ host, port, maxPayload: PEER_MESSAGE_BYTES, perMessageDeflate: false })
      this.#server = server
      server.once('error', reject)
      server.once('listening', () => resolve(`${host}:${(server.address() as AddressInfo).port}`))
      server.on('connection', socket => this.#challenge(socket))
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
    for (const link of this.#links.values()) link.send({ kind: 'notice', notice })
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
    if (!isNeeded || this.#dialling.has(member) || this.#isClosed) return
    this.#dialling.add(member)
    const socket = new WebSocket(`ws://${address}`, { maxPayload: PEER_MESSAGE_BYTES, perMessageDeflate: false, handshakeTimeout: PEER_TIMEOUT_MS })
    socket.on('message', (data: Buffer) => this.#greet(socket, member, data))
    socket.on('error', () => socket.terminate())
    socket.on('close', () => {
      this.#dialling.delete(member)
      this.#clock.after(PEER_RETRY_MS * (1 + this.#random.fraction()), () => this.#dial(member))
    })
  }

  #greet (socket: WebSocket, member: MemberId, data: Buffer): void {
    const frame = unpackFrame(data)
    const key = this.#options.keys[0]
    if (frame?.kind === 'challenge' && key !== undefined) {
      const proof = makeProof(key, frame.nonce, this.#options.member)
      socket.send(packFrame({ kind: 'hello', protocol: PEER_PROTOCOL, member: this.#options.member, key: key.id, proof }))
      return
    }
    if (frame?.kind !== 'welcome' || frame.member !== member) {
      socket.terminate()
      return
    }
    socket.removeAllListeners('message')
    this.#links.set(member, new PeerConnection(socket, member, this.#clock, this.#handlers(() => this.#links.delete(member))))
  }

  #challenge (socket: WebSocket): void {
    const nonce = this.#random.id(NONCE_LENGTH)
    const timer = this.#clock.after(PEER_TIMEOUT_MS, () => socket.terminate())
    socket.on('error', () => socket.terminate())
    socket.send(packFrame({ kind: 'challenge', protocol: PEER_PROTOCOL, nonce }))
    socket.once('message', (data: Buffer) => {
      timer.cancel()
      const frame = unpackFrame(data)
      const isKnown = frame?.kind === 'hello' && frame.protocol === PEER_PROTOCOL &&
        isProven(this.#options.keys, frame.key, nonce, frame.member, frame.proof)
      if (!isKnown) {
        this.#log.warn('Refused a peer that did not prove a known key')
        socket.terminate()
        return
      }
      socket.send(packFrame({ kind: 'welcome', member: this.#options.member }))
      this.#incoming.add(new PeerConnection(socket, frame.member, this.#clock, this.#handlers(connection => this.#incoming.delete(connection))))
    })
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
