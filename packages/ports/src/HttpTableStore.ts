/**
 * The table service over HTTP and JSON.
 */
import { brand, Err, Ok, type AuburnpinError, type Result, type RowVersion, type TransactionId } from '@auburnpin/common'
import { ENVELOPE_FORMAT, STORE_TIMEOUT_MS } from './constants.ts'
import type { HttpAnswer, HttpClient } from './HttpClient.ts'
import { isConflict, isSuccess, parseJsonAnswer, unexpectedStatus } from './jsonAnswer.ts'
import { TableStore } from './TableStore.ts'
import type { Row, RowPage, Transaction, TransactionOutcome } from './types.ts'

/** The content of a row as it is stored. */
type Envelope = Readonly<{ format: number, transaction: TransactionId, value: unknown }>
type StoredRow = Readonly<{ key: string, version: RowVersion, value: Envelope }>
type StoredPage = Readonly<{ rows: readonly StoredRow[], hasMore: boolean }>
type StoredConflict = Readonly<{ outcome: 'conflict', key: string, row: StoredRow | null }>
type StoredCommit = Readonly<{ outcome: 'committed', version: RowVersion }>

/** Speaks the table service's contract at one address. */
export class HttpTableStore extends TableStore {
  readonly #client: HttpClient
  readonly #address: string

  constructor (client: HttpClient, address: string) {
    super()
    this.#client = client
    this.#address = address
  }

  async read (key: string): Promise<Result<Row | null, AuburnpinError>> {
    const answer = await this.#send('GET', `/table/${encodeURIComponent(key)}`)
    if (answer.err) return answer
    if (answer.val.status === 404) return Ok(null)
    if (!isSuccess(answer.val)) return Err(unexpectedStatus(answer.val, 'The table service'))
    return parseJsonAnswer<StoredRow>(answer.val, 'The table service').map(toRow)
  }

  async list (prefix: string, after: string, limit: number): Promise<Result<RowPage, AuburnpinError>> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) })
    const answer = await this.#send('GET', `/table?${query.toString()}`)
    if (answer.err) return answer
    if (!isSuccess(answer.val)) return Err(unexpectedStatus(answer.val, 'The table service'))
    const page = parseJsonAnswer<StoredPage>(answer.val, 'The table service')
    return page.map(found => ({ rows: found.rows.map(toRow), hasMore: found.hasMore }))
  }

  async transact (transaction: Transaction): Promise<Result<TransactionOutcome, AuburnpinError>> {
    const puts = transaction.puts.map(put => ({ key: put.key, value: seal(transaction.id, put.value) }))
    const answer = await this.#send('POST', '/transact', JSON.stringify({ ...transaction, puts }))
    if (answer.err) return answer
    if (isConflict(answer.val)) {
      const conflict = parseJsonAnswer<StoredConflict>(answer.val, 'The table service')
      return conflict.map(found => ({ kind: 'conflict', key: found.key, row: found.row === null ? null : toRow(found.row) }))
    }
    if (!isSuccess(answer.val)) return Err(unexpectedStatus(answer.val, 'The table service'))
    const commit = parseJsonAnswer<StoredCommit>(answer.val, 'The table service')
    return commit.map(found => ({ kind: 'committed', version: found.version }))
  }

  #send (method: 'GET' | 'POST', path: string, body?: string): Promise<Result<HttpAnswer, AuburnpinError>> {
    return this.#client.send({ address: this.#address, method, path, body, timeoutMs: STORE_TIMEOUT_MS })
  }
}

const seal = (transaction: TransactionId, value: unknown): Envelope => ({ format: ENVELOPE_FORMAT, transaction, value })

const toRow = (stored: StoredRow): Row => ({
  key: stored.key,
  version: brand<RowVersion>(stored.version),
  transaction: stored.value.transaction,
  value: stored.value.value
})
