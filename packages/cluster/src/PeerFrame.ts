/**
 * Frames on a peer link, packed with `msgpackr`.
 */
import { pack, unpack } from 'msgpackr'
import type { MemberId } from '@auburnpin/common'
import type { StreamFrame } from './PeerStreams.ts'
import type { PeerNotice, PeerReply, PeerRequest } from './types.ts'

/** One message on the wire. */
export type PeerFrame =
  /** The listener's first frame; `oldest` is the lowest protocol that it still speaks. */
  | Readonly<{ kind: 'challenge', protocol: number, oldest: number, nonce: string }>
  /** The caller's answer, with a challenge of its own and the protocol for this link. */
  | Readonly<{ kind: 'hello', protocol: number, member: MemberId, key: string, proof: string, nonce: string }>
  /** The listener's proof with the caller's key. */
  | Readonly<{ kind: 'welcome', member: MemberId, proof: string }>
  | Readonly<{ kind: 'heartbeat' }>
  | Readonly<{ kind: 'request', id: number, request: PeerRequest }>
  | Readonly<{ kind: 'reply', id: number, reply: PeerReply }>
  | Readonly<{ kind: 'notice', notice: PeerNotice }>
  | StreamFrame

/** Packs one frame. */
export const packFrame = (frame: PeerFrame): Buffer => pack(frame)

/** Unpacks one frame; `undefined` if it is none. */
export const unpackFrame = (data: Buffer): PeerFrame | undefined => {
  try {
    const frame: unknown = unpack(data)
    const isFrame = typeof frame === 'object' && frame !== null && 'kind' in frame
    return isFrame ? frame as PeerFrame : undefined
  } catch {
    return undefined
  }
}
