/**
 * A worker over HTTP and JSON.
 */
import { Err, Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { WORKER_TIMEOUT_MS } from './constants.ts'
import type { HttpCall, HttpClient } from './HttpClient.ts'
import { isConflict, isSuccess, parseJsonAnswer, unexpectedStatus } from './jsonAnswer.ts'
import type { TaskStart, UsageSample, WorkerAnswer, WorkerLease, WorkerReport, WorkerTask } from './types.ts'
import { Worker, Workers, type AttemptAddress } from './Worker.ts'

/** The last report and its entity tag; most reports say the same again. */
type KnownReport = Readonly<{ etag: string, report: WorkerReport }>

const HTTP_NOT_MODIFIED = 304

type Refusal = Omit<Extract<WorkerAnswer<unknown>, { kind: 'refused' }>, 'kind'>

/** Speaks the worker's contract at one address. */
export class HttpWorker extends Worker {
  readonly #client: HttpClient
  readonly #address: string
  #known: KnownReport | undefined

  constructor (client: HttpClient, address: string) {
    super()
    this.#client = client
    this.#address = address
  }

  lease (lease: WorkerLease): Promise<Result<WorkerAnswer<WorkerLease>, AuburnpinError>> {
    return this.#ask('PUT', '/lease', lease)
  }

  start (start: TaskStart): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>> {
    return this.#ask('POST', '/tasks', start)
  }

  stop (address: AttemptAddress): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>> {
    return this.#ask('POST', pathOf(address, 'stop'), address)
  }

  checkpoint (address: AttemptAddress): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>> {
    return this.#ask('POST', pathOf(address, 'checkpoint'), address)
  }

  throttle (address: AttemptAddress, share: number): Promise<Result<WorkerAnswer<WorkerTask>, AuburnpinError>> {
    return this.#ask('POST', pathOf(address, 'throttle'), { ...address, share })
  }

  acknowledge (address: AttemptAddress): Promise<Result<WorkerAnswer<null>, AuburnpinError>> {
    return this.#ask('POST', pathOf(address, 'acknowledge'), address)
  }

  async report (): Promise<Result<WorkerReport, AuburnpinError>> {
    const known = this.#known
    const headers = known === undefined ? undefined : { 'if-none-match': known.etag }
    const answer = await this.#client.send({ address: this.#address, method: 'GET', path: '/tasks', headers, timeoutMs: WORKER_TIMEOUT_MS })
    if (answer.err) return answer
    if (answer.val.status === HTTP_NOT_MODIFIED && known !== undefined) return Ok(known.report)
    if (!isSuccess(answer.val)) return Err(unexpectedStatus(answer.val, 'The worker'))
    const report = parseJsonAnswer<WorkerReport>(answer.val, 'The worker')
    const { etag } = answer.val
    this.#known = report.ok && etag !== undefined ? { etag, report: report.val } : undefined
    return report
  }

  async usage (since: number): Promise<Result<readonly UsageSample[], AuburnpinError>> {
    const found = await this.#read<{ samples: UsageSample[] }>(`/usage?since=${since}`)
    return found.map(usage => usage.samples)
  }

  async #ask<Value> (method: HttpCall['method'], path: string, message: object): Promise<Result<WorkerAnswer<Value>, AuburnpinError>> {
    const answer = await this.#client.send({ address: this.#address, method, path, body: JSON.stringify(message), timeoutMs: WORKER_TIMEOUT_MS })
    if (answer.err) return answer
    if (isConflict(answer.val)) {
      return parseJsonAnswer<Refusal>(answer.val, 'The worker').map(refusal => ({ kind: 'refused', ...refusal }))
    }
    if (!isSuccess(answer.val)) return Err(unexpectedStatus(answer.val, 'The worker'))
    return parseJsonAnswer<Value>(answer.val, 'The worker').map(value => ({ kind: 'done', value }))
  }

  async #read<Value> (path: string): Promise<Result<Value, AuburnpinError>> {
    const answer = await this.#client.send({ address: this.#address, method: 'GET', path, timeoutMs: WORKER_TIMEOUT_MS })
    if (answer.err) return answer
    if (!isSuccess(answer.val)) return Err(unexpectedStatus(answer.val, 'The worker'))
    return parseJsonAnswer<Value>(answer.val, 'The worker')
  }
}

const pathOf = (address: AttemptAddress, verb: string): string => `/tasks/${encodeURIComponent(address.id)}/${verb}`

/** Workers that share one client. */
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
