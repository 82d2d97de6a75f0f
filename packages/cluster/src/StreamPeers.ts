/**
 * The interface for streams between members.
 */
import type { AuburnpinError, MemberId, Result } from '@auburnpin/common'
import type { PeerStream } from './PeerStream.ts'
import type { OpenHandler } from './PeerStreams.ts'

/** Handles a stream that another member has opened. */
export type StreamHandler = (...opened: [...Parameters<OpenHandler>, from: MemberId]) => void

/** Opens streams to members by id. */
export abstract class StreamPeers {
  /** Errors: `unreachable` if there is no connection; nothing was sent. */
  abstract openStream (to: MemberId, head: unknown): Result<PeerStream, AuburnpinError>
  abstract onStream (handler: StreamHandler): void
  /** Members with an open connection, this one included. */
  abstract get reachable (): readonly MemberId[]
}
