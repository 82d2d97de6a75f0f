/**
 * Reads JSON answers of the platform's services.
 */
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import type { HttpAnswer } from './HttpClient.ts'

const HTTP_OK = 200
const HTTP_CONFLICT = 409

/** Whether the service did what it was asked to. */
export const isSuccess = (answer: HttpAnswer): boolean => answer.status >= HTTP_OK && answer.status < 300

/** Whether the service refused because something differs from what was expected. */
export const isConflict = (answer: HttpAnswer): boolean => answer.status === HTTP_CONFLICT

/** Parses the body; a body that is no JSON is a `corrupt` error. */
export const parseJsonAnswer = <Value>(answer: HttpAnswer, what: string): Result<Value, AuburnpinError> => {
  try {
    return Ok(JSON.parse(answer.body.toString('utf8')) as Value)
  } catch (cause) {
    return Err(new AuburnpinError('corrupt', `${what} answered something that is no JSON`, 'Check that the address names the right service.', { cause }))
  }
}

/** The error for a status that the contract does not name. */
export const unexpectedStatus = (answer: HttpAnswer, what: string): AuburnpinError =>
  new AuburnpinError('unknown-outcome', `${what} answered status ${answer.status}`, 'Try again later; see the state of the platform if it goes on.')
