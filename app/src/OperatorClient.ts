/**
 * The command line's way to the operators' listener.
 */
import { AuburnpinError, Err, Ok, type ErrorReport, type Result } from '@auburnpin/common'
import { HttpClient, type HttpCall } from '@auburnpin/ports'

const OPERATOR_TIMEOUT_MS = 30_000
const OPERATOR_SOCKETS = 4
const FIRST_REDIRECT_STATUS = 300

/** Calls operations with a token. */
export class OperatorClient {
  readonly #client = new HttpClient(OPERATOR_SOCKETS)
  readonly #address: string
  readonly #token: string

  constructor (address: string, token: string) {
    this.#address = address
    this.#token = token
  }

  /** The body of the answer, or the error that the member told. */
  async call<Value> (method: HttpCall['method'], path: string, message?: unknown, headers: Readonly<Record<string, string>> = {}): Promise<Result<Value, AuburnpinError>> {
    const answer = await this.#client.send({
      address: this.#address,
      method,
      path,
      body: message === undefined ? undefined : JSON.stringify(message),
      headers: { authorization: `Bearer ${this.#token}`, ...headers },
      timeoutMs: OPERATOR_TIMEOUT_MS
    })
    if (answer.err) return answer
    const body = parseJson(answer.val.body)
    if (body === undefined) return Err(new AuburnpinError('invalid-request', `${this.#address} does not speak JSON`, 'Give the address of a member\'s operators\' listener.'))
    if (answer.val.status < FIRST_REDIRECT_STATUS) return Ok(body as Value)
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
