/**
 * Messages between gateways about a forwarded request, sent as heads of its stream.
 */
import type { EndpointId, ErrorReport } from '@auburnpin/common'
import type { ResponseHead, RequestFault, RequestHead } from './types.ts'

/** Opens the stream of a forwarded request. */
export type ForwardOpening = Readonly<{
  kind: 'request'
  head: RequestHead
  tried: readonly EndpointId[]
  /** How long the request may wait for a slot, in milliseconds; with 0 it only gets a slot that is free now. */
  waitMs: number
}>

/** A fault as sent to a peer. */
export type SentFault = Omit<RequestFault, 'error'> & Readonly<{ error: ErrorReport }>

/** Reply of the slots' owner; `spareShare` is its free slots minus waiting requests, as a fraction of its slots. */
export type ForwardReply =
  /** A slot has been acquired; the body may be sent. */
  | Readonly<{ kind: 'ready' }>
  | Readonly<{ kind: 'answer', answer: ResponseHead, spareShare: number }>
  | Readonly<{ kind: 'fault', fault: SentFault, endpoint?: EndpointId, spareShare: number }>
