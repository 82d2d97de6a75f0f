/**
 * The worker interface over HTTP and JSON.
 */
import { Err, Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { WORKER_TIMEOUT_MS } from './constants.ts'
import type { HttpRequest, HttpClient } from './HttpClient.ts'
import { isConflict, isSuccess, parseJsonResponse, unexpectedStatus } from './jsonResponse.ts'
import type { TaskStart, UsageSample, WorkerResponse, WorkerLease, WorkerReport, WorkerTask } from './types.ts'
import { Worker, Workers, type AttemptReference } from './Worker.ts'

/** The last report and its entity tag; cached because most reports are unchanged. */
type CachedReport = Readonly<{ etag: string, report: WorkerReport }>

const HTTP_NOT_MODIFIED = 304

type Refusal = Omit<Extract<WorkerResponse<unknown>, { kind: 'refused' }>, 'kind'>

/** Client of the worker at one address. */
export class HttpWorker extends Worker {
  readonly #client: HttpClient
  readonly #address: string
  #cachedReport: CachedReport | undefined

  constructor (client: HttpClient, address: string) {
    super()
    this.#client = client
    this.#address = address
  }

  lease (lease: WorkerLease): Promise<Result<WorkerResponse<WorkerLease>, AuburnpinError>> {
    return this.#command('PUT', '/lease', lease)
  }

  start (start: TaskStart): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#command('POST', '/tasks', start)
  }

  stop (attempt: AttemptReference): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#command('POST', pathOf(attempt, 'stop'), attempt)
  }

  checkpoint (attempt: AttemptReference): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#command('POST', pathOf(attempt, 'checkpoint'), attempt)
  }

  throttle (attempt: AttemptReference, share: number): Promise<Result<WorkerResponse<WorkerTask>, AuburnpinError>> {
    return this.#command('POST', pathOf(attempt, 'throttle'), { ...attempt, share })
  }

  acknowledge (attempt: AttemptReference): Promise<Result<WorkerResponse<null>, AuburnpinError>> {
    return this.#command('POST', pathOf(attempt, 'acknowledge'), attempt)
  }

  async report (): Promise<Result<WorkerReport, AuburnpinError>> {
    const cached = this.#cachedReport
    const headers = cached === undefined ? undefined : { 'if-none-match': cached.etag }
    const response = await this.#client.send({ address: this.#address, method: 'GET', path: '/tasks', headers, timeoutMs: WORKER_TIMEOUT_MS })
    if (response.err) return response
    if (response.val.status === HTTP_NOT_MODIFIED && cached !== undefined) return Ok(cached.report)
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The worker'))
    const report = parseJsonResponse<WorkerReport>(response.val, 'The worker')
    const { etag } = response.val
    this.#cachedReport = report.ok && etag !== undefined ? { etag, report: report.val } : undefined
    return report
  }

  async usage (since: number): Promise<Result<readonly UsageSample[], AuburnpinError>> {
    const body = await this.#read<{ samples: UsageSample[] }>(`/usage?since=${since}`)
    return body.map(usage => usage.samples)
  }

  async #command<Value> (method: HttpRequest['method'], path: string, message: object): Promise<Result<WorkerResponse<Value>, AuburnpinError>> {
    const response = await this.#client.send({ address: this.#address, method, path, body: JSON.stringify(message), timeoutMs: WORKER_TIMEOUT_MS })
    if (response.err) return response
    if (isConflict(response.val)) {
      return parseJsonResponse<Refusal>(response.val, 'The worker').map(refusal => ({ kind: 'refused', ...refusal }))
    }
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The worker'))
    return parseJsonResponse<Value>(response.val, 'The worker').map(value => ({ kind: 'done', value }))
  }

  async #read<Value> (path: string): Promise<Result<Value, AuburnpinError>> {
    const response = await this.#client.send({ address: this.#address, method: 'GET', path, timeoutMs: WORKER_TIMEOUT_MS })
    if (response.err) return response
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The worker'))
    return parseJsonResponse<Value>(response.val, 'The worker')
  }
}

const pathOf = (attempt: AttemptReference, operation: string): string => `/tasks/${encodeURIComponent(attempt.id)}/${operation}`

/** Creates workers that share one HTTP client. */
export class HttpWorkers extends Workers {
  readonly #client: HttpClient

  constructor (client: HttpClient) {
    super()
    this.#client = client
  }

  at (address: string): Worker {
    return new HttpWorker(this.#client, address)
  }
}
