/**
 * Requests and answers on their way between callers, gateways and endpoints.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { AuburnpinError, CallerId, EndpointId, RequestId, ServiceName } from '@auburnpin/common'

/** A request without its body. */
export type RequestHead = Readonly<{
  requestId: RequestId
  service: ServiceName
  caller: CallerId
  method: string
  /** Path and query as the endpoint gets them. */
  path: string
  /** Headers for the endpoint. */
  headers: IncomingHttpHeaders
  /** The endpoint of the caller's session. */
  bound?: EndpointId
  /** Whether the answer names its endpoint in a session token. */
  isSession: boolean
}>

/** An answer without its body. */
export type AnswerHead = Readonly<{ status: number, headers: IncomingHttpHeaders, endpoint: EndpointId }>

/** Why a try brought no whole answer. */
export type FaultCause = 'endpoint' | 'caller' | 'busy' | 'leaving' | 'admission' | 'peer'

/** What is known of a request that brought no whole answer. */
export type RequestFault = Readonly<{
  error: AuburnpinError
  cause: FaultCause
  /** Whether it is certain that no endpoint ran the request. */
  isNotRun: boolean
  /** HTTP status for the caller. */
  status: number
  retryAfterSeconds?: number
}>
