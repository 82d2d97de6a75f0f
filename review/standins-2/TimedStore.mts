/**
 * The platform's store as its pages describe it, with their times: an answer takes 4 ms, a transaction 8 ms, the
 * transactions of one part run one after another, and lists pass a link of 1,000 Mbit/s. The rows are those of the
 * project's stand-in.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { brand, type RowVersion } from '@auburnpin/common'
import type { FakeRows } from '@auburnpin/fakes'
import type { StoredRow } from '@auburnpin/jobs'
import { sleep } from './Lab.ts'

const ANSWER_MS = 4
const TRANSACTION_MS = 8
const FEED_POLL_MS = 10
const SILENCE_MS = 1_000
const LINK_BYTES_PER_MS = 125_000

type Fields = Readonly<Record<string, unknown>>

export class TimedStore {
  readonly #rows: FakeRows
  readonly #server: Server
  readonly #parts = new Map<string, Promise<void>>()
  readonly #feeds = new Set<ServerResponse>()
  #areFeedsSilent = false
  #linkFreeAt = 0
  /** Called with the rows that a transaction has removed. */
  onRemoved: (rows: readonly StoredRow[]) => void = () => {}
  /** Called with each feed that is told that its history is gone. */
  onGone: (table: string) => void = () => {}

  constructor (rows: FakeRows) {
    this.#rows = rows
    this.#server = createServer((request, response) => { void this.#serve(request, response) })
  }

  listen (): Promise<string> {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => {
        const address = this.#server.address()
        resolve(`127.0.0.1:${typeof address === 'object' && address !== null ? address.port : 0}`)
      })
    })
  }

  /** Feeds hear nothing for a second while changes are made, then the history is dropped and they are cut. */
  async forgetHistory (): Promise<void> {
    this.#areFeedsSilent = true
    await sleep(SILENCE_MS)
    this.#rows.trim()
    for (const response of this.#feeds) response.socket?.destroy()
    this.#areFeedsSilent = false
  }

  async #serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const url = new URL(request.url ?? '', 'http://store')
    const query = url.searchParams
    await sleep(ANSWER_MS / 2)
    if (url.pathname === '/auburnpin/rows-tx') await this.#transact(JSON.parse(Buffer.concat(chunks).toString('utf8')) as Fields, response)
    else if (url.pathname === '/auburnpin/rows-get') await this.#get(query, response)
    else if (url.pathname === '/auburnpin/rows-feed') await this.#feed(query, response)
    else await answer(response, 404, {})
  }

  async #transact (fields: Fields, response: ServerResponse): Promise<void> {
    const [checks, puts, removed] = ['expected_rev', 'set_keys', 'remove'].map(name => ((fields[name] ?? []) as Fields[]).map(readRow)) as [StoredRow[], StoredRow[], StoredRow[]]
    const part = [...checks, ...puts, ...removed][0]?.part ?? ''
    const turn = (this.#parts.get(part) ?? Promise.resolve()).then(() => sleep(TRANSACTION_MS))
    this.#parts.set(part, turn)
    await turn
    const outcome = this.#rows.apply({ part, checks, puts, deletes: removed })
    if (outcome.kind === 'committed' && removed.length > 0) this.onRemoved(removed)
    if (outcome.kind === 'committed') await answer(response, 200, { ver: outcome.version, now_ms: this.#rows.storeTime })
    else await answer(response, 412, { rows: outcome.rows.map(writeRow), ver: this.#rows.version, now_ms: this.#rows.storeTime })
  }

  async #get (query: URLSearchParams, response: ServerResponse): Promise<void> {
    const page = this.#rows.list({ table: query.get('table') ?? '', part: query.get('part') ?? '', from: query.get('from_rev') ?? '', to: query.get('target') ?? '' })
    const fields = { rows: page.rows.map(writeRow), has_more: page.hasMore, ver: page.version, now_ms: this.#rows.storeTime }
    await this.#transfer(JSON.stringify(fields).length)
    await answer(response, 200, fields)
  }

  // Lists follow one another on the link; short answers hardly take any of its time.
  async #transfer (bytes: number): Promise<void> {
    const now = performance.now()
    this.#linkFreeAt = Math.max(now, this.#linkFreeAt) + bytes / LINK_BYTES_PER_MS
    if (this.#linkFreeAt - now >= 1) await sleep(this.#linkFreeAt - now)
  }

  async #feed (query: URLSearchParams, response: ServerResponse): Promise<void> {
    this.#feeds.add(response)
    response.once('close', () => this.#feeds.delete(response))
    const table = query.get('table') ?? ''
    const endsAt = performance.now() + Number(query.get('wait_ms'))
    while (!response.destroyed) {
      if (!this.#areFeedsSilent) {
        const changes = this.#rows.since(table, brand<RowVersion>(Number(query.get('after'))))
        if (changes.kind === 'trimmed') {
          this.onGone(table)
          await answer(response, 410, {})
          return
        }
        if (changes.changed.length + changes.deleted.length > 0 || performance.now() >= endsAt) {
          const removed = changes.deleted.map(({ key }) => ({ table, part: '', key, deleted: true }))
          await answer(response, 200, { rows: [...changes.changed.map(writeRow), ...removed], ver: changes.version, now_ms: this.#rows.storeTime })
          return
        }
      }
      await sleep(FEED_POLL_MS)
    }
  }
}

const answer = async (response: ServerResponse, status: number, fields: Fields): Promise<void> => {
  const text = JSON.stringify(fields)
  await sleep(ANSWER_MS / 2)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

const readRow = ({ table, part, key, value, ver }: Fields): StoredRow =>
  ({ table: String(table ?? ''), part: String(part ?? ''), key: String(key ?? ''), value: Buffer.from(String(value ?? ''), 'base64').toString('utf8'), version: brand<RowVersion>(Number(ver ?? 0)) })

const writeRow = ({ table, part, key, value, version }: StoredRow): Fields =>
  ({ table, part, key, value: Buffer.from(value, 'utf8').toString('base64'), ver: version })
