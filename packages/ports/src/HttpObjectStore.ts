/**
 * The object store over HTTP.
 */
import { Err, Ok, type AuburnpinError, type Result } from '@auburnpin/common'
import { STORE_TIMEOUT_MS } from './constants.ts'
import type { HttpClient } from './HttpClient.ts'
import { isSuccess, unexpectedStatus } from './jsonResponse.ts'
import { ObjectStore } from './ObjectStore.ts'

/** Client of the object store at one address. */
export class HttpObjectStore extends ObjectStore {
  readonly #client: HttpClient
  readonly #address: string

  constructor (client: HttpClient, address: string) {
    super()
    this.#client = client
    this.#address = address
  }

  async read (key: string): Promise<Result<Uint8Array | null, AuburnpinError>> {
    const response = await this.#client.send({ address: this.#address, method: 'GET', path: pathOf(key), timeoutMs: STORE_TIMEOUT_MS })
    if (response.err) return response
    if (response.val.status === 404) return Ok(null)
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The object store'))
    return Ok(response.val.body)
  }

  write (key: string, content: Uint8Array): Promise<Result<void, AuburnpinError>> {
    return this.#change('PUT', key, content)
  }

  delete (key: string): Promise<Result<void, AuburnpinError>> {
    return this.#change('DELETE', key)
  }

  async #change (method: 'PUT' | 'DELETE', key: string, body?: Uint8Array): Promise<Result<void, AuburnpinError>> {
    const response = await this.#client.send({ address: this.#address, method, path: pathOf(key), body, timeoutMs: STORE_TIMEOUT_MS })
    if (response.err) return response
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The object store'))
    return Ok(undefined)
  }
}

const pathOf = (key: string): string => `/objects/${encodeURIComponent(key)}`
