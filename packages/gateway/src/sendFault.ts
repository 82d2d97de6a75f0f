/**
 * HTTP responses for requests that got no response from an endpoint.
 */
import type { ServerResponse } from 'node:http'
import type { RequestId } from '@auburnpin/common'
import { OUTCOME_HEADER, REQUEST_ID_HEADER, RETRY_AFTER_SECONDS } from './constants.ts'
import type { RequestFault } from './types.ts'

/** Headers of a response that reports a fault. */
export const faultHeaders = (fault: RequestFault, requestId: RequestId): Record<string, string | number> => {
  const headers: Record<string, string | number> = {
    'content-type': 'application/json', [OUTCOME_HEADER]: fault.isNotRun ? 'not-run' : 'unknown', [REQUEST_ID_HEADER]: requestId
  }
  if (fault.status === 503) headers['retry-after'] = fault.retryAfterSeconds ?? RETRY_AFTER_SECONDS
  return headers
}

/** JSON body of a response that reports a fault. */
export const faultBody = (fault: RequestFault, requestId: RequestId): string =>
  `${JSON.stringify({ ...fault.error.toReport(), requestId })}\n`

/** Sends a fault as the complete response. */
export const sendFault = (outgoing: ServerResponse, fault: RequestFault, requestId: RequestId): void => {
  outgoing.writeHead(fault.status, faultHeaders(fault, requestId))
  outgoing.end(faultBody(fault, requestId))
}
