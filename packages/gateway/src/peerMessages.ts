/**
 * What gateways tell each other about a request that one forwards to another, as heads of its stream.
 */
import type { EndpointId, ErrorReport } from '@auburnpin/common'
import type { AnswerHead, RequestFault, RequestHead } from './types.ts'

/** Opens the stream of a forwarded request. */
export type ForwardOpening = Readonly<{
  kind: 'request'
  head: RequestHead
  tried: readonly EndpointId[]
  /** How long the request may wait for a slot, in milliseconds; 0 asks for a free one only. */
  waitMs: number
}>

/** A fault in the form in which it is sent. */
export type SentFault = Omit<RequestFault, 'error'> & Readonly<{ error: ErrorReport }>

/** What the owner of the slots says of a forwarded request; `spareShare` is its free slots less waiting requests, by its slots. */
export type ForwardReply =
  /** A slot is held; the body may be sent. */
  | Readonly<{ kind: 'ready' }>
  | Readonly<{ kind: 'answer', answer: AnswerHead, spareShare: number }>
  | Readonly<{ kind: 'fault', fault: SentFault, endpoint?: EndpointId, spareShare: number }>
