/**
 * Frames on a peer connection, encoded as MessagePack with `msgpackr`.
 */
import { pack, unpack } from 'msgpackr'
import type { MemberId } from '@auburnpin/common'
import type { StreamFrame } from './PeerStreams.ts'
import type { PeerNotice, PeerReply, PeerRequest } from './types.ts'

/** One message on the wire. */
export type PeerFrame =
  /** The listener's first frame; `oldest` is the lowest protocol version that it supports. */
  | Readonly<{ kind: 'challenge', protocol: number, oldest: number, nonce: string }>
  /** The response of the connecting member, with its own nonce and the protocol version for this connection. */
  | Readonly<{ kind: 'hello', protocol: number, member: MemberId, key: string, proof: string, nonce: string }>
  /** The listener's proof, made with the key that the connecting member used. */
  | Readonly<{ kind: 'welcome', member: MemberId, proof: string }>
  | Readonly<{ kind: 'heartbeat' }>
  | Readonly<{ kind: 'request', id: number, request: PeerRequest }>
  | Readonly<{ kind: 'reply', id: number, reply: PeerReply }>
  | Readonly<{ kind: 'notice', notice: PeerNotice }>
  | StreamFrame

/** Encodes one frame. */
export const packFrame = (frame: PeerFrame): Buffer => pack(frame)

/** Decodes one frame; `undefined` if the data is not a valid frame. */
export const unpackFrame = (data: Buffer): PeerFrame | undefined => {
  try {
    const frame: unknown = unpack(data)
    const isFrame = typeof frame === 'object' && frame !== null && 'kind' in frame
    return isFrame ? frame as PeerFrame : undefined
  } catch {
    return undefined
  }
}
