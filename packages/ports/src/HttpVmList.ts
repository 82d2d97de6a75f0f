/**
 * The VM list over HTTP and JSON.
 */
import { Err, type AuburnpinError, type Result } from '@auburnpin/common'
import { VM_LIST_TIMEOUT_MS } from './constants.ts'
import type { HttpClient } from './HttpClient.ts'
import { isSuccess, parseJsonAnswer, unexpectedStatus } from './jsonAnswer.ts'
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
    const answer = await this.#client.send({ address: this.#address, method: 'GET', path: '/vms', timeoutMs: VM_LIST_TIMEOUT_MS })
    if (answer.err) return answer
    if (!isSuccess(answer.val)) return Err(unexpectedStatus(answer.val, 'The VM list'))
    return parseJsonAnswer<{ vms: VmEntry[] }>(answer.val, 'The VM list').map(found => found.vms)
  }
}
