/**
 * Mutual authentication of two members with a shared key, and negotiation of the protocol version, before a
 * connection is used.
 */
import type { WebSocket } from 'ws'
import { brand, type Clock, type MemberId, type Random } from '@auburnpin/common'
import { PEER_REPLY_TIMEOUT_MS } from './constants.ts'
import { packFrame, unpackFrame, type PeerFrame } from './PeerFrame.ts'
import { isValidProof, makeProof } from './peerProof.ts'
import type { PeerKey } from './types.ts'

/** This member's identity and keys, and the protocol versions that it supports. */
export type HandshakeOptions = Readonly<{
  member: MemberId
  /** The first key authenticates outgoing connections; all keys are accepted on incoming ones. Read for every connection. */
  keys: () => readonly PeerKey[]
  newest: number
  oldest: number
}>

/** The result of a handshake. */
export type HandshakeOutcome =
  | Readonly<{ kind: 'proven', member: MemberId, protocol: number }>
  | Readonly<{ kind: 'refused', reason: string }>

const NONCE_LENGTH = 26
const NO_MEMBER = brand<MemberId>('')

/** Performs either side of a handshake; the socket is terminated unless both sides are authenticated. */
export class PeerHandshake {
  readonly #options: HandshakeOptions
  readonly #clock: Clock
  readonly #random: Random

  constructor (options: HandshakeOptions, clock: Clock, random: Random) {
    this.#options = options
    this.#clock = clock
    this.#random = random
  }

  /** Performs the listener's side. */
  async accept (socket: WebSocket): Promise<HandshakeOutcome> {
    const { member, newest, oldest } = this.#options
    const nonce = this.#random.id(NONCE_LENGTH)
    const reply = this.#receive(socket)
    send(socket, { kind: 'challenge', protocol: newest, oldest, nonce })
    const hello = await reply
    if (hello?.kind !== 'hello') return refuse(socket, 'It sent no hello frame')
    if (hello.protocol > newest || hello.protocol < oldest) return refuse(socket, `It uses protocol ${hello.protocol}; this member supports ${oldest} to ${newest}`)
    const key = this.#options.keys().find(candidate => candidate.id === hello.key)
    if (key === undefined || !isValidProof([key], hello.key, nonce, hello.member, 'caller', hello.proof)) return refuse(socket, 'Its proof matches no known key')
    send(socket, { kind: 'welcome', member, proof: makeProof(key, hello.nonce, member, 'listener') })
    return { kind: 'proven', member: hello.member, protocol: hello.protocol }
  }

  /** Performs the connecting side; `expected` is `undefined` if only the address is known. */
  async connect (socket: WebSocket, expected: MemberId | undefined): Promise<HandshakeOutcome> {
    const { member, newest, oldest } = this.#options
    const challenge = await this.#receive(socket)
    const [key] = this.#options.keys()
    if (challenge?.kind !== 'challenge' || key === undefined) return refuse(socket, 'It sent no challenge')
    const protocol = Math.min(newest, challenge.protocol)
    if (protocol < oldest || protocol < challenge.oldest) return refuse(socket, `It supports protocols ${challenge.oldest} to ${challenge.protocol}; this member supports ${oldest} to ${newest}`)
    const nonce = this.#random.id(NONCE_LENGTH)
    const reply = this.#receive(socket)
    send(socket, { kind: 'hello', protocol, member, key: key.id, proof: makeProof(key, challenge.nonce, member, 'caller'), nonce })
    const welcome = await reply
    if (welcome?.kind !== 'welcome') return refuse(socket, 'It did not accept this member')
    if (!isValidProof([key], key.id, nonce, welcome.member ?? NO_MEMBER, 'listener', welcome.proof)) return refuse(socket, 'Its proof does not match the key')
    if (expected !== undefined && welcome.member !== expected) return refuse(socket, `It is member ${welcome.member}, not ${expected}`)
    return { kind: 'proven', member: welcome.member, protocol }
  }

  /** Resolves to the next frame, or to `undefined` on a timeout or when the socket closes. */
  #receive (socket: WebSocket): Promise<PeerFrame | undefined> {
    return new Promise(resolve => {
      const timer = this.#clock.after(PEER_REPLY_TIMEOUT_MS, () => settle(undefined))
      const onMessage = (data: Buffer): void => settle(unpackFrame(data))
      const onClose = (): void => settle(undefined)
      const settle = (frame: PeerFrame | undefined): void => {
        timer.cancel()
        socket.off('message', onMessage)
        socket.off('close', onClose)
        resolve(frame)
      }
      socket.on('message', onMessage)
      socket.on('close', onClose)
    })
  }
}

const send = (socket: WebSocket, frame: PeerFrame): void => {
  socket.send(packFrame(frame), () => {})
}

const refuse = (socket: WebSocket, reason: string): HandshakeOutcome => {
  socket.terminate()
  return { kind: 'refused', reason }
}
