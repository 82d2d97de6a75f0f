/**
 * Streams to other members, as the rest of the program opens and accepts them.
 */
import type { AuburnpinError, MemberId, Result } from '@auburnpin/common'
import type { PeerStream } from './PeerStream.ts'
import type { OpenHandler } from './PeerStreams.ts'

/** Takes in a stream that another member has opened. */
export type StreamHandler = (...opened: [...Parameters<OpenHandler>, from: MemberId]) => void

/** Opens streams to members by id. */
export abstract class StreamPeers {
  /** Errors: `unreachable` before anything was sent. */
  abstract openStream (to: MemberId, head: unknown): Result<PeerStream, AuburnpinError>
  abstract onStream (handler: StreamHandler): void
  /** Members with an open link, this one included. */
  abstract get reachable (): readonly MemberId[]
}
