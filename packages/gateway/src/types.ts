/**
 * Requests, responses and faults as they pass between callers, gateways and endpoints.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { AuburnpinError, CallerId, EndpointId, RequestId, ServiceName } from '@auburnpin/common'

/** A request without its body. */
export type RequestHead = Readonly<{
  requestId: RequestId
  service: ServiceName
  caller: CallerId
  method: string
  /** Path and query as sent to the endpoint. */
  path: string
  /** Headers as sent to the endpoint. */
  headers: IncomingHttpHeaders
  /** The endpoint of the caller's session. */
  bound?: EndpointId
  /** Whether the response carries a session token for its endpoint. */
  isSession: boolean
}>

/** A response without its body, and the endpoint that sent it. */
export type ResponseHead = Readonly<{ status: number, headers: IncomingHttpHeaders, endpoint: EndpointId }>

/** Why a try got no complete response. */
export type FaultCause = 'endpoint' | 'caller' | 'busy' | 'leaving' | 'admission' | 'peer'

/** Outcome of a request that got no complete response. */
export type RequestFault = Readonly<{
  error: AuburnpinError
  cause: FaultCause
  /** Whether it is certain that no endpoint ran the request. */
  isNotRun: boolean
  /** HTTP status for the caller. */
  status: number
  retryAfterSeconds?: number
}>
