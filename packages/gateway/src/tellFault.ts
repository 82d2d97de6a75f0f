/**
 * Tells a caller over HTTP that there is no answer from an endpoint.
 */
import type { ServerResponse } from 'node:http'
import type { RequestId } from '@auburnpin/common'
import { OUTCOME_HEADER, REQUEST_ID_HEADER, RETRY_AFTER_SECONDS } from './constants.ts'
import type { RequestFault } from './types.ts'

/** Headers of an answer that no endpoint gave. */
export const faultHeaders = (fault: RequestFault, requestId: RequestId): Record<string, string | number> => {
  const headers: Record<string, string | number> = {
    'content-type': 'application/json', [OUTCOME_HEADER]: fault.isNotRun ? 'not-run' : 'unknown', [REQUEST_ID_HEADER]: requestId
  }
  if (fault.status === 503) headers['retry-after'] = fault.retryAfterSeconds ?? RETRY_AFTER_SECONDS
  return headers
}

/** The JSON body of such an answer. */
export const faultBody = (fault: RequestFault, requestId: RequestId): string =>
  `${JSON.stringify({ ...fault.error.toReport(), requestId })}\n`

/** Answers a request with its fault, at once. */
export const tellFault = (outgoing: ServerResponse, fault: RequestFault, requestId: RequestId): void => {
  outgoing.writeHead(fault.status, faultHeaders(fault, requestId))
  outgoing.end(faultBody(fault, requestId))
}
