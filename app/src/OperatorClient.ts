/**
 * HTTP client of the operators' listener.
 */
import { AuburnpinError, Err, Ok, type ErrorReport, type Result } from '@auburnpin/common'
import { HttpClient, type HttpRequest } from '@auburnpin/ports'

const OPERATOR_TIMEOUT_MS = 30_000
const OPERATOR_SOCKETS = 4
const FIRST_NON_SUCCESS_STATUS = 300

/** Calls operations, authenticated by a token. */
export class OperatorClient {
  readonly #client = new HttpClient(OPERATOR_SOCKETS)
  readonly #address: string
  readonly #token: string

  constructor (address: string, token: string) {
    this.#address = address
    this.#token = token
  }

  /** Returns the response body, or the error that the member reported. */
  async call<Value> (method: HttpRequest['method'], path: string, payload?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Result<Value, AuburnpinError>> {
    const response = await this.#client.send({
      address: this.#address,
      method,
      path,
      body: payload === undefined ? undefined : JSON.stringify(payload),
      headers: { authorization: `Bearer ${this.#token}`, ...headers },
      timeoutMs: OPERATOR_TIMEOUT_MS
    })
    if (response.err) return response
    const body = parseJson(response.val.body)
    if (body === undefined) return Err(new AuburnpinError('invalid-request', `${this.#address} did not return JSON`, 'Give the address of a member\'s operators\' listener.'))
    if (response.val.status < FIRST_NON_SUCCESS_STATUS) return Ok(body as Value)
    const { kind, message: text, remedy } = body as ErrorReport
    return Err(new AuburnpinError(kind, text, remedy))
  }

  close (): void {
    this.#client.close()
  }
}

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch {
    return undefined
  }
}
