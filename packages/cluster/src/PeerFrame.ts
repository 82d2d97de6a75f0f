/**
 * Frames on a peer link, packed with `msgpackr`.
 */
import { pack, unpack } from 'msgpackr'
import type { MemberId } from '@auburnpin/common'
import type { StreamFrame } from './PeerStreams.ts'
import type { PeerNotice, PeerReply, PeerRequest } from './types.ts'

/** One message on the wire. */
export type PeerFrame =
  | Readonly<{ kind: 'challenge', protocol: number, nonce: string }>
  | Readonly<{ kind: 'hello', protocol: number, member: MemberId, key: string, proof: string }>
  | Readonly<{ kind: 'welcome', member: MemberId }>
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
