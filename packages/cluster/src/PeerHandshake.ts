/**
 * How two members prove a shared key to each other and settle on a protocol before a link is used.
 */
import type { WebSocket } from 'ws'
import { brand, type Clock, type MemberId, type Random } from '@auburnpin/common'
import { PEER_TIMEOUT_MS } from './constants.ts'
import { packFrame, unpackFrame, type PeerFrame } from './PeerFrame.ts'
import { isProven, makeProof } from './peerProof.ts'
import type { PeerKey } from './types.ts'

/** Who this process is on its links, and which protocols it speaks. */
export type HandshakeOptions = Readonly<{
  member: MemberId
  /** The first key is used for calling; all are accepted. Read anew for every link. */
  keys: () => readonly PeerKey[]
  newest: number
  oldest: number
}>

/** How a handshake ended. */
export type HandshakeOutcome =
  | Readonly<{ kind: 'proven', member: MemberId, protocol: number }>
  | Readonly<{ kind: 'refused', reason: string }>

const NONCE_LENGTH = 26
const NOBODY = brand<MemberId>('')

/** Carries out either end of a handshake; the socket is terminated unless both ends are proven. */
export class PeerHandshake {
  readonly #options: HandshakeOptions
  readonly #clock: Clock
  readonly #random: Random

  constructor (options: HandshakeOptions, clock: Clock, random: Random) {
    this.#options = options
    this.#clock = clock
    this.#random = random
  }

  /** The listener's end. */
  async listen (socket: WebSocket): Promise<HandshakeOutcome> {
    const { member, newest, oldest } = this.#options
    const nonce = this.#random.id(NONCE_LENGTH)
    const answered = this.#receive(socket)
    send(socket, { kind: 'challenge', protocol: newest, oldest, nonce })
    const hello = await answered
    if (hello?.kind !== 'hello') return refuse(socket, 'It sent no greeting')
    if (hello.protocol > newest || hello.protocol < oldest) return refuse(socket, `It speaks protocol ${hello.protocol}; this member speaks ${oldest} to ${newest}`)
    const key = this.#options.keys().find(candidate => candidate.id === hello.key)
    if (key === undefined || !isProven([key], hello.key, nonce, hello.member, 'caller', hello.proof)) return refuse(socket, 'It did not prove a known key')
    send(socket, { kind: 'welcome', member, proof: makeProof(key, hello.nonce, member, 'listener') })
    return { kind: 'proven', member: hello.member, protocol: hello.protocol }
  }

  /** The caller's end; `expected` is undefined where only the address is known. */
  async call (socket: WebSocket, expected: MemberId | undefined): Promise<HandshakeOutcome> {
    const { member, newest, oldest } = this.#options
    const challenge = await this.#receive(socket)
    const [key] = this.#options.keys()
    if (challenge?.kind !== 'challenge' || key === undefined) return refuse(socket, 'It sent no challenge')
    const protocol = Math.min(newest, challenge.protocol)
    if (protocol < oldest || protocol < challenge.oldest) return refuse(socket, `It speaks protocol ${challenge.oldest} to ${challenge.protocol}; this member speaks ${oldest} to ${newest}`)
    const nonce = this.#random.id(NONCE_LENGTH)
    const answered = this.#receive(socket)
    send(socket, { kind: 'hello', protocol, member, key: key.id, proof: makeProof(key, challenge.nonce, member, 'caller'), nonce })
    const welcome = await answered
    if (welcome?.kind !== 'welcome') return refuse(socket, 'It did not accept this member')
    if (!isProven([key], key.id, nonce, welcome.member ?? NOBODY, 'listener', welcome.proof)) return refuse(socket, 'It did not prove the key')
    if (expected !== undefined && welcome.member !== expected) return refuse(socket, `It is member ${welcome.member}, not ${expected}`)
    return { kind: 'proven', member: welcome.member, protocol }
  }

  /** The next frame, `undefined` if none comes in time or the socket closes. */
  #receive (socket: WebSocket): Promise<PeerFrame | undefined> {
    return new Promise(resolve => {
      const timer = this.#clock.after(PEER_TIMEOUT_MS, () => settle(undefined))
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
