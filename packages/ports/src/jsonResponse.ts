/**
 * Helpers for the JSON responses of the platform's services.
 */
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import type { HttpResponse } from './HttpClient.ts'

const HTTP_OK = 200
const HTTP_CONFLICT = 409

/** Whether the service carried out the request. */
export const isSuccess = (response: HttpResponse): boolean => response.status >= HTTP_OK && response.status < 300

/** Whether the service refused the request because of a conflict with its current state. */
export const isConflict = (response: HttpResponse): boolean => response.status === HTTP_CONFLICT

/** Parses the body; a body that is not valid JSON is a `corrupt` error. */
export const parseJsonResponse = <Value>(response: HttpResponse, what: string): Result<Value, AuburnpinError> => {
  try {
    return Ok(JSON.parse(response.body.toString('utf8')) as Value)
  } catch (cause) {
    return Err(new AuburnpinError('corrupt', `${what} sent a response that is not valid JSON`, 'Check that the address is that of the right service.', { cause }))
  }
}

/** The error for a status that the service's contract does not define. */
export const unexpectedStatus = (response: HttpResponse, what: string): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `${what} responded with unexpected status ${response.status}`, 'Try again later; if it persists, check the state of the platform.')
