/**
 * One request and its response, independent of how the request reached this gateway.
 */
import type { Writable } from 'node:stream'
import type { ReplayableBody } from './ReplayableBody.ts'
import type { ResponseHead, RequestFault, RequestHead } from './types.ts'

/** A caller's request as the router handles it: it gets exactly one response, complete or recognisably aborted. */
export abstract class Exchange {
  abstract readonly head: RequestHead
  abstract readonly body: ReplayableBody
  /** Whether a part of the response has been sent. */
  abstract get isResponseStarted (): boolean
  /** Whether the caller, or the gateway that forwards for it, has disconnected. */
  abstract get isDisconnected (): boolean
  /** Calls `listener` on a disconnect before the response has been sent completely. */
  abstract onDisconnect (listener: () => void): void
  /** Sends status and headers, and returns the stream to which the body is written. */
  abstract startResponse (response: ResponseHead): Writable
  /** Aborts the response so that it can't be mistaken for a complete one. */
  abstract abort (): void
  /** Sends the fault instead of a response; aborts the response if it has been started. */
  abstract fail (fault: RequestFault): void
}
