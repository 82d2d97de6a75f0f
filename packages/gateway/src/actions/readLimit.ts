/**
 * Parses the page size of a list.
 */
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'

/** The query parameter `limit`, or `fallback` if it is absent. */
export const readLimit = (query: URLSearchParams, fallback: number): Result<number, AuburnpinError> => {
  const text = query.get('limit')
  if (text === null) return Ok(fallback)
  const limit = Number(text)
  if (Number.isInteger(limit) && limit > 0) return Ok(limit)
  return Err(new AuburnpinError('invalid-request', `limit is "${text}"`, 'Write a whole number above 0.'))
}
