/**
 * The other members, as the rest of the program talks to them.
 */
import type { AuburnpinError, MemberId, Result } from '@auburnpin/common'
import type { PeerNotice, PeerReply, PeerRequest } from './types.ts'

/** Handles a question of another member. */
export type RequestHandler = (request: PeerRequest, from: MemberId) => Promise<PeerReply>
/** Takes in a notice of another member. */
export type NoticeHandler = (notice: PeerNotice, from: MemberId) => void

/** Sends messages to members by id; answers reach only their own question. */
export abstract class Peers {
  /** Errors: `unreachable` before anything was sent, `unknown-outcome` after. */
  abstract request (to: MemberId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>>
  /** Tells every reachable member, and this one. */
  abstract broadcast (notice: PeerNotice): void
  abstract onRequest (handler: RequestHandler): void
  abstract onNotice (handler: NoticeHandler): void
  /** Says which members there are, with the addresses of their peer listeners. */
  abstract setMembers (members: ReadonlyMap<MemberId, string>): void
  /** Members with an open link, this one included. */
  abstract get reachable (): readonly MemberId[]
  /** Members with an open link, without this one. */
  abstract get others (): readonly MemberId[]
}
