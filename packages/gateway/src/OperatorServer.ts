/**
 * The HTTP server for operators and job submission: authenticates, finds the action, responds in JSON.
 */
import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { AuburnpinError, Err, Ok, toAuburnpinError, type ErrorKind, type Log, type Result } from '@auburnpin/common'
import type { Action, ActionResponse, ActionPorts } from './actions/Action.ts'
import { ACTIONS } from './actions/actions.ts'
import { MAX_OPERATOR_BODY_BYTES } from './constants.ts'

/** A bearer token and the operator it authenticates. */
export type OperatorToken = Readonly<{ operator: string, token: string }>

type Match = Readonly<{ action: Action, id: string }>

/** HTTP status for each kind of error. */
export const STATUS_OF_KIND: Readonly<Record<ErrorKind, number>> = {
  'invalid-file': 400,
  'invalid-request': 400,
  unauthorised: 401,
  'not-found': 404,
  conflict: 409,
  overloaded: 503,
  leaving: 503,
  timeout: 504,
  unreachable: 503,
  'unknown-outcome': 502,
  fenced: 503,
  corrupt: 500,
  'version-mismatch': 500,
  invariant: 500
}

/** Runs the actions for authenticated operators. */
export class OperatorServer {
  readonly #ports: ActionPorts
  readonly #tokens: readonly OperatorToken[]
  readonly #log: Log
  readonly #server: Server

  constructor (ports: ActionPorts, tokens: readonly OperatorToken[], log: Log) {
    this.#ports = ports
    this.#tokens = tokens
    this.#log = log
    this.#server = createServer((incoming, outgoing) => { void this.#handle(incoming, outgoing) })
  }

  listen (host: string, port: number): Promise<string> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, host, () => resolve(`${host}:${(this.#server.address() as AddressInfo).port}`))
    })
  }

  /** Accepts no new connections and resolves once the requests in progress have ended. */
  close (): Promise<void> {
    return new Promise(resolve => {
      this.#server.close(() => resolve())
      this.#server.closeIdleConnections()
    })
  }

  async #handle (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const result = await this.#run(incoming).catch(thrown => Err(toAuburnpinError(thrown, 'unknown-outcome', 'See the log of this member.')))
    if (result.err) this.#log.info('An operation failed', { method: incoming.method, path: incoming.url, kind: result.val.kind, reason: result.val.message })
    const response: ActionResponse = result.ok ? result.val : { status: STATUS_OF_KIND[result.val.kind], body: result.val.toReport() }
    outgoing.writeHead(response.status, { 'content-type': 'application/json' })
    outgoing.end(`${JSON.stringify(response.body)}\n`)
  }

  async #run (incoming: IncomingMessage): Promise<Result<ActionResponse, AuburnpinError>> {
    const operator = this.#authenticate(incoming.headers.authorization ?? '')
    if (operator === undefined) return Err(new AuburnpinError('unauthorised', 'The request carries no known token', 'Send "Authorization: Bearer TOKEN" with a token of the settings.'))
    const url = new URL(incoming.url ?? '/', 'http://operator')
    const match = findAction(incoming.method ?? 'GET', url.pathname)
    if (match === undefined) return Err(new AuburnpinError('not-found', `There is no operation at ${incoming.method} ${url.pathname}`, 'See docs/API.md for all operations.'))
    const body = await readJson(incoming)
    if (body.err) return body
    return await match.action.run(this.#ports, { operator, id: match.id, query: url.searchParams, headers: incoming.headers, body: body.val })
  }

  #authenticate (authorization: string): string | undefined {
    const received = digest(authorization.replace(/^Bearer /, ''))
    for (const { operator, token } of this.#tokens) {
      if (timingSafeEqual(received, digest(token))) return operator
    }
    return undefined
  }
}

const digest = (text: string): Buffer => createHash('sha256').update(text).digest()

const findAction = (method: string, path: string): Match | undefined => {
  const segments = path.split('/')
  for (const action of ACTIONS) {
    const pattern = action.path.split('/')
    const isMatch = action.method === method && pattern.length === segments.length &&
      pattern.every((part, index) => part === ':id' || part === segments[index])
    if (isMatch) return { action, id: decodeURIComponent(segments[pattern.indexOf(':id')] ?? '') }
  }
  return undefined
}

const readJson = async (incoming: IncomingMessage): Promise<Result<unknown, AuburnpinError>> => {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of incoming) {
    size += (chunk as Buffer).length
    if (size > MAX_OPERATOR_BODY_BYTES) return Err(new AuburnpinError('invalid-request', `The body is larger than ${MAX_OPERATOR_BODY_BYTES} bytes`, 'Split it into several requests.'))
    chunks.push(chunk as Buffer)
  }
  if (size === 0) return Ok(undefined)
  try {
    return Ok(JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown)
  } catch {
    return Err(new AuburnpinError('invalid-request', 'The body is not valid JSON', 'Send JSON, as docs/API.md shows.'))
  }
}
