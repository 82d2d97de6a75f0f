/**
 * The table service over HTTP and JSON.
 */
import { brand, Err, Ok, type AuburnpinError, type Result, type RowVersion, type TransactionId } from '@auburnpin/common'
import { ENVELOPE_FORMAT, STORE_TIMEOUT_MS } from './constants.ts'
import type { HttpResponse, HttpClient } from './HttpClient.ts'
import { isConflict, isSuccess, parseJsonResponse, unexpectedStatus } from './jsonResponse.ts'
import { TableStore } from './TableStore.ts'
import type { Row, RowPage, Transaction, TransactionOutcome } from './types.ts'

/** The content of a stored row, with the transaction that wrote it. */
type Envelope = Readonly<{ format: number, transaction: TransactionId, value: unknown }>
type StoredRow = Readonly<{ key: string, version: RowVersion, value: Envelope }>
type StoredPage = Readonly<{ rows: readonly StoredRow[], hasMore: boolean }>
type StoredConflict = Readonly<{ outcome: 'conflict', key: string, row: StoredRow | null }>
type StoredCommit = Readonly<{ outcome: 'committed', version: RowVersion }>

/** Client of the table service at one address. */
export class HttpTableStore extends TableStore {
  readonly #client: HttpClient
  readonly #address: string

  constructor (client: HttpClient, address: string) {
    super()
    this.#client = client
    this.#address = address
  }

  async read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    const response = await this.#send('GET', `/table/${encodeURIComponent(key)}`)
    if (response.err) return response
    if (response.val.status === 404) return Ok(null)
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The table service'))
    return parseJsonResponse<StoredRow>(response.val, 'The table service').map(toRow)
  }

  async list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) })
    const response = await this.#send('GET', `/table?${query.toString()}`)
    if (response.err) return response
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The table service'))
    const page = parseJsonResponse<StoredPage>(response.val, 'The table service')
    return page.map(body => ({ rows: body.rows.map(toRow), hasMore: body.hasMore }))
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    const puts = transaction.puts.map(put => ({ key: put.key, value: toEnvelope(transaction.id, put.value) }))
    const response = await this.#send('POST', '/transact', JSON.stringify({ ...transaction, puts }))
    if (response.err) return response
    if (isConflict(response.val)) {
      const conflict = parseJsonResponse<StoredConflict>(response.val, 'The table service')
      return conflict.map(body => ({ kind: 'conflict', key: body.key, row: body.row === null ? null : toRow(body.row) }))
    }
    if (!isSuccess(response.val)) return Err(unexpectedStatus(response.val, 'The table service'))
    const commit = parseJsonResponse<StoredCommit>(response.val, 'The table service')
    return commit.map(body => ({ kind: 'committed', version: body.version }))
  }

  #send (method: 'GET' | 'POST', path: string, body?: string): Promise<Result<HttpResponse, AuburnpinError>> {
    return this.#client.send({ address: this.#address, method, path, body, timeoutMs: STORE_TIMEOUT_MS })
  }
}

const toEnvelope = (transaction: TransactionId, value: unknown): Envelope => ({ format: ENVELOPE_FORMAT, transaction, value })

const toRow = (stored: StoredRow): Row => ({
  key: stored.key,
  version: brand<RowVersion>(stored.version),
  transaction: stored.value.transaction,
  value: stored.value.value
})
