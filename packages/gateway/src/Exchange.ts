/**
 * One request and its one answer, wherever the caller is connected.
 */
import type { Writable } from 'node:stream'
import type { ReplayBody } from './ReplayBody.ts'
import type { AnswerHead, RequestFault, RequestHead } from './types.ts'

/** A caller's request as the routing sees it: answered exactly once, whole or visibly broken. */
export abstract class Exchange {
  abstract readonly head: RequestHead
  abstract readonly body: ReplayBody
  /** Whether a part of the answer has been sent. */
  abstract get isBegun (): boolean
  /** Whether the caller has gone away. */
  abstract get isGone (): boolean
  /** Calls `listener` when the caller goes away before the answer has ended. */
  abstract onGone (listener: () => void): void
  /** Sends the head of the answer; the body is written to what comes back. */
  abstract begin (answer: AnswerHead): Writable
  /** Breaks the answer off so that it can not be taken for a whole one. */
  abstract cut (): void
  /** Tells the caller that there is no answer, and what became of the request. */
  abstract fail (fault: RequestFault): void
}
