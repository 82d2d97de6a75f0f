/**
 * Filters the headers that a gateway forwards.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { CALLER_HEADER, INTERNAL_PREFIX, REFUSED_HEADER, SESSION_COOKIE } from './constants.ts'

const HOP_BY_HOP = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-connection'
])

/**
 * Removes hop-by-hop headers, including those named in `connection`.
 *
 * @example
 * endToEndHeaders({ connection: 'close, x-hop', 'x-hop': '1', accept: '*' }) // { accept: '*' }
 */
export const endToEndHeaders = (headers: IncomingHttpHeaders): IncomingHttpHeaders => {
  const named = new Set((headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()))
  const kept: IncomingHttpHeaders = {}
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP.has(name) && !named.has(name)) kept[name] = value
  }
  return kept
}

/** A caller's headers as sent to an endpoint: of auburnpin's own only the caller's name, and no session token. */
export const requestHeaders = (headers: IncomingHttpHeaders): IncomingHttpHeaders => {
  const kept: IncomingHttpHeaders = {}
  for (const [name, value] of Object.entries(endToEndHeaders(headers))) {
    if (!name.startsWith(INTERNAL_PREFIX) || name === CALLER_HEADER) kept[name] = value
  }
  // Node's server has already handled `expect`.
  delete kept.expect
  const cookie = withoutSession(headers.cookie)
  if (cookie === undefined) delete kept.cookie
  else kept.cookie = cookie
  if (headers['transfer-encoding'] !== undefined) {
    kept['transfer-encoding'] = 'chunked'
    delete kept['content-length']
  }
  return kept
}

/** An endpoint's headers as sent to a caller: of auburnpin's own only the refusal; gateways set the others. */
export const responseHeaders = (headers: IncomingHttpHeaders): IncomingHttpHeaders => {
  const kept: IncomingHttpHeaders = {}
  for (const [name, value] of Object.entries(endToEndHeaders(headers))) {
    if (!name.startsWith(INTERNAL_PREFIX) || name === REFUSED_HEADER) kept[name] = value
  }
  return kept
}

/** The value of the cookie `name`. */
export const cookieValue = (cookie: string | undefined, name: string): string | undefined => {
  for (const part of (cookie ?? '').split(';')) {
    const [key = '', value] = part.trim().split('=', 2)
    if (key === name) return value
  }
  return undefined
}

const withoutSession = (cookie: string | undefined): string | undefined => {
  const kept = (cookie ?? '').split(';').map(part => part.trim()).filter(part => part !== '' && !part.startsWith(`${SESSION_COOKIE}=`))
  return kept.length === 0 ? undefined : kept.join('; ')
}
