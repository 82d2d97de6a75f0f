/**
 * Validates a caller's request before it is routed.
 */
import type { IncomingMessage } from 'node:http'
import { AuburnpinError, brand, Err, Ok, type CallerId, type RequestId, type Result, type ServiceName } from '@auburnpin/common'
import type { Configuration, Service } from '@auburnpin/core'
import { CALLER_HEADER, NEW_SESSION, SESSION_COOKIE, SESSION_HEADER } from './constants.ts'
import { cookieValue, requestHeaders } from './headers.ts'
import type { GatewayLimits } from './limits.ts'
import type { Session, SessionTokens } from './SessionTokens.ts'
import type { RequestFault, RequestHead } from './types.ts'

/** A valid request and the declaration of its service. */
export type CheckedRequest = Readonly<{ head: RequestHead, service: Service }>

/** Configuration, limits and session keys that a request is validated against. */
export type RequestRules = Readonly<{ configuration: Configuration, limits: GatewayLimits, tokens: SessionTokens }>

type Target = Readonly<{ name: ServiceName, service: Service, path: string }>

const MAX_CALLER_LENGTH = 200

/**
 * Returns the request's head in the form sent to endpoints and other gateways, or the 4xx fault for the caller.
 *
 * @example
 * const checked = checkRequest(incoming, requestId, rules)
 */
export const checkRequest = (incoming: IncomingMessage, requestId: RequestId, rules: RequestRules): Result<CheckedRequest, RequestFault> => {
  const exceeded = findExceededLimit(incoming, rules.limits)
  if (exceeded !== undefined) return Err(exceeded)
  const target = findTarget(incoming.url ?? '', rules.configuration)
  if (target.err) return target
  const session = readSession(incoming, target.val.name, rules.tokens)
  if (session.err) return session
  const head: RequestHead = {
    requestId,
    service: target.val.name,
    caller: callerOf(incoming),
    method: incoming.method ?? 'GET',
    path: target.val.path,
    headers: requestHeaders(incoming.headers),
    isSession: session.val.isWanted,
    ...(session.val.session === undefined ? {} : { bound: session.val.session.endpoint })
  }
  return Ok({ head, service: target.val.service })
}

/** A 4xx fault: the request is invalid and was not run. */
export const callerFault = (status: number, message: string, remedy: string): RequestFault =>
  ({ error: new AuburnpinError(status === 404 ? 'not-found' : 'invalid-request', message, remedy), cause: 'caller', isNotRun: true, status })

const findExceededLimit = (incoming: IncomingMessage, limits: GatewayLimits): RequestFault | undefined => {
  const headers = incoming.rawHeaders.length / 2
  if (headers > limits.maxHeaders) return callerFault(431, `The request has ${headers} headers, more than ${limits.maxHeaders}`, 'Send fewer headers, or raise limits.maxHeaders in the settings.')
  const length = Number(incoming.headers['content-length'] ?? 0)
  if (length > limits.maxBodyBytes) return callerFault(413, `The body is larger than ${limits.maxBodyBytes} bytes`, 'Send less, or raise limits.maxBodyBytes in the settings.')
  const caller = incoming.headers[CALLER_HEADER]
  if (typeof caller === 'string' && caller.length > MAX_CALLER_LENGTH) return callerFault(400, `The header ${CALLER_HEADER} is longer than ${MAX_CALLER_LENGTH} characters`, 'Send a shorter name.')
  return undefined
}

const findTarget = (url: string, configuration: Configuration): Result<Target, RequestFault> => {
  if (!url.startsWith('/')) return Err(callerFault(400, 'The request target is not a path', 'Send a path that starts with "/", not a whole URL.'))
  const [, first = ''] = url.split(/[/?]/)
  const name = brand<ServiceName>(first)
  const service = Object.hasOwn(configuration.services, name) ? configuration.services[name]?.value : undefined
  if (service === undefined) return Err(callerFault(404, 'The path names no service', 'Send the request to /SERVICE/...; `auburnpin status` lists the services.'))
  const rest = url.slice(first.length + 1)
  return Ok({ name, service, path: rest.startsWith('/') ? rest : `/${rest}` })
}

type RequestedSession = Readonly<{ isWanted: boolean, session?: Session }>

const readSession = (incoming: IncomingMessage, service: ServiceName, tokens: SessionTokens): Result<RequestedSession, RequestFault> => {
  const header = incoming.headers[SESSION_HEADER]
  const token = typeof header === 'string' ? header : cookieValue(incoming.headers.cookie, SESSION_COOKIE)
  if (token === undefined) return Ok({ isWanted: false })
  if (token === NEW_SESSION) return Ok({ isWanted: true })
  const session = tokens.read(token)
  if (session.err) return Err({ error: session.val, cause: 'caller', isNotRun: true, status: 400 })
  if (session.val.service !== service) return Err(callerFault(400, 'The session token belongs to another service', `Start a session with the header "${SESSION_HEADER}: ${NEW_SESSION}".`))
  return Ok({ isWanted: true, session: session.val })
}

const callerOf = (incoming: IncomingMessage): CallerId => {
  const named = incoming.headers[CALLER_HEADER]
  return brand<CallerId>(typeof named === 'string' ? named : incoming.socket.remoteAddress ?? '')
}
