/**
 * The interface for messages between members.
 */
import type { AuburnpinError, MemberId, Result } from '@auburnpin/common'
import type { PeerNotice, PeerReply, PeerRequest } from './types.ts'

/** Handles a request from a member. */
export type RequestHandler = (request: PeerRequest, from: MemberId) => Promise<PeerReply>
/** Handles a notice from a member. */
export type NoticeHandler = (notice: PeerNotice, from: MemberId) => void

/** Sends messages to members by id; each reply is matched to its own request. */
export abstract class Peers {
  /** Errors: `unreachable` if nothing was sent, `unknown-outcome` if the request was sent without a reply. */
  abstract request (to: MemberId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>>
  /** Sends a notice to every reachable member, this one included. */
  abstract broadcast (notice: PeerNotice): void
  abstract onRequest (handler: RequestHandler): void
  abstract onNotice (handler: NoticeHandler): void
  /** Sets the known members, with the addresses of their peer listeners. */
  abstract setMembers (members: ReadonlyMap<MemberId, string>): void
  /** Members with an open connection, this one included. */
  abstract get reachable (): readonly MemberId[]
  /** Members with an open connection, without this one. */
  abstract get others (): readonly MemberId[]
}
