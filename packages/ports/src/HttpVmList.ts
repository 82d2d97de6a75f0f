/**
 * The VM list over HTTP and JSON.
 */
import { Err, type AuburnpinError, type Result } from '@auburnpin/common'
import { VM_LIST_TIMEOUT_MS } from './constants.ts'
import type { HttpClient } from './HttpClient.ts'
import { isSuccess, parseJsonResponse, unexpectedStatus } from './jsonResponse.ts'
import type { VmEntry } from './types.ts'
import { VmList } from './VmList.ts'

/** Reads `GET /vms` at one address. */
export class HttpVmList extends VmList {
  readonly #client: HttpClient
  readonly #address: string

  constructor (client: HttpClient, address: string) {
    super()
    this.#client = client
    this.#address = address
  }

  async read (): Promise<Result<readonly VmEntry[], AuburnpinError>> {
    const response = await this.#client.send({ address: this.#address, method: 'GET', path: '/vms', timeoutMs: VM_LIST_TIMEOUT_MS })
    if (response.err) return response
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The VM list'))
    return parseJsonResponse<{ vms: VmEntry[] }>(response.val, 'The VM list').map(body => body.vms)
  }
}
