/**
 * Signed session tokens: any gateway can serve any session without storing it.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { AuburnpinError, brand, Err, Ok, type EndpointId, type Result, type ServiceName } from '@auburnpin/common'

/** A signing key; tokens contain its id. */
export type SessionKey = Readonly<{ id: string, secret: string }>

/** The session that a token identifies. */
export type Session = Readonly<{ service: ServiceName, endpoint: EndpointId }>

/** Signs with the first key and accepts all keys: to rotate, insert the new key first. */
export class SessionTokens {
  readonly #keys: () => readonly SessionKey[]

  constructor (keys: () => readonly SessionKey[]) {
    this.#keys = keys
  }

  /**
   * Creates a token for the session.
   *
   * @example
   * const token = tokens.issue({ service, endpoint: endpoint.id })
   */
  issue (session: Session): string {
    const [key] = this.#keys()
    if (key === undefined) throw new AuburnpinError('invalid-file', 'There is no session key', 'Add one under sessionKeys in the settings.')
    const content = Buffer.from(JSON.stringify({ key: key.id, ...session })).toString('base64url')
    return `${content}.${sign(key, content)}`
  }

  /** Verifies a token. Errors: `unauthorised` when it was not signed with one of the keys. */
  read (token: string): Result<Session, AuburnpinError> {
    const [content = '', signature = ''] = token.split('.', 2)
    const parsed = parsePayload(content)
    const key = this.#keys().find(candidate => candidate.id === parsed?.key)
    if (parsed === undefined || key === undefined || !isSameSignature(sign(key, content), signature)) return Err(invalidToken())
    return Ok({ service: brand<ServiceName>(parsed.service), endpoint: brand<EndpointId>(parsed.endpoint) })
  }
}

type TokenPayload = Readonly<{ key: string, service: string, endpoint: string }>

const sign = (key: SessionKey, content: string): string => createHmac('sha256', key.secret).update(`session\n${content}`).digest('base64url')

const isSameSignature = (expected: string, received: string): boolean => {
  const [left, right] = [Buffer.from(expected), Buffer.from(received)]
  return left.length === right.length && timingSafeEqual(left, right)
}

const parsePayload = (content: string): TokenPayload | undefined => {
  try {
    const value: unknown = JSON.parse(Buffer.from(content, 'base64url').toString('utf8'))
    const isContent = typeof value === 'object' && value !== null && 'key' in value && 'service' in value && 'endpoint' in value
    return isContent ? value as TokenPayload : undefined
  } catch {
    return undefined
  }
}

const invalidToken = (): AuburnpinError =>
  new AuburnpinError('unauthorised', 'The session token is not valid', 'Start a new session with the header "auburnpin-session: new".')
