/**
 * Session tokens: signed, so that any gateway serves any session and none needs to remember it.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { AuburnpinError, brand, Err, Ok, type EndpointId, type Result, type ServiceName } from '@auburnpin/common'

/** A key for signing; its id stands in each token. */
export type SessionKey = Readonly<{ id: string, secret: string }>

/** What a token names. */
export type Session = Readonly<{ service: ServiceName, endpoint: EndpointId }>

/** Signs with the first key and accepts all, so that keys are rotated by putting a new one in front. */
export class SessionTokens {
  readonly #keys: () => readonly SessionKey[]

  constructor (keys: () => readonly SessionKey[]) {
    this.#keys = keys
  }

  /**
   * A token for the session.
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

  /** What the token names. Errors: `unauthorised` when it was not signed with one of the keys. */
  read (token: string): Result<Session, AuburnpinError> {
    const [content = '', signature = ''] = token.split('.', 2)
    const parsed = parse(content)
    const key = this.#keys().find(candidate => candidate.id === parsed?.key)
    if (parsed === undefined || key === undefined || !isSame(sign(key, content), signature)) return Err(invalidToken())
    return Ok({ service: brand<ServiceName>(parsed.service), endpoint: brand<EndpointId>(parsed.endpoint) })
  }
}

type Content = Readonly<{ key: string, service: string, endpoint: string }>

const sign = (key: SessionKey, content: string): string => createHmac('sha256', key.secret).update(`session\n${content}`).digest('base64url')

const isSame = (expected: string, given: string): boolean => {
  const [left, right] = [Buffer.from(expected), Buffer.from(given)]
  return left.length === right.length && timingSafeEqual(left, right)
}

const parse = (content: string): Content | undefined => {
  try {
    const value: unknown = JSON.parse(Buffer.from(content, 'base64url').toString('utf8'))
    const isContent = typeof value === 'object' && value !== null && 'key' in value && 'service' in value && 'endpoint' in value
    return isContent ? value as Content : undefined
  } catch {
    return undefined
  }
}

const invalidToken = (): AuburnpinError =>
  new AuburnpinError('unauthorised', 'The session token is not valid', 'Start a new session with the header "auburnpin-session: new".')
