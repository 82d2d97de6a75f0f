/**
 * Stand-in of the platform's metadata store, as the users' page on the protocol describes it. It is sound: it loses nothing,
 * answers every call, and delays nothing but transactions, by `tx_ms`.
 */
import { createServer } from 'node:http'
import { readJson, sendJson } from './http.mjs'

const TX_MS = 8
const HISTORY_MS = 20_000
const MAX_ROWS = 500
const READ_ONLY_TABLES = new Set(['op', 'servers'])

export class Store {
  #rows = new Map()
  #history = []
  #version = 0
  #trimmedUntil = 0
  #partFreeAt = new Map()
  #waiters = new Set()
  #startedAt = performance.now()
  /** Called with the rows of each transaction that was made, before its response is sent. */
  onCommit = () => {}
  #server = createServer((request, response) => { this.#serve(request, response) })

  async listen (host) {
    await new Promise(resolve => { this.#server.listen(0, host, resolve) })
    return `${host}:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** The platform's own writes: of the operator and of the minions. */
  put (table, key, value, part = '') {
    this.#version++
    this.#set({ table, part, key, value: Buffer.from(JSON.stringify(value)).toString('base64'), ver: this.#version })
    this.#notify()
  }

  remove (table, key, part = '') {
    if (!this.#rows.has(path(table, part, key))) return
    this.#version++
    this.#delete({ table, part, key })
    this.#notify()
  }

  /** Value of a row, decoded; `undefined` without one. */
  read (table, part, key) {
    const row = this.#rows.get(path(table, part, key))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, 'base64').toString())
  }

  #set (row) {
    this.#rows.set(path(row.table, row.part, row.key), row)
    this.#record(row)
  }

  #delete ({ table, part, key }) {
    this.#rows.delete(path(table, part, key))
    this.#record({ table, part, key, ver: this.#version, deleted: true })
  }

  #record (row) {
    this.#history.push({ at: performance.now(), row })
    while (this.#history.length > 0 && this.#history[0].at < performance.now() - HISTORY_MS) this.#trimmedUntil = this.#history.shift().row.ver
  }

  #notify () {
    for (const wake of [...this.#waiters]) wake()
  }

  get #time () {
    return { ver: this.#version, now_ms: Math.floor(performance.now() - this.#startedAt) }
  }

  async #serve (request, response) {
    const body = await readJson(request)
    const url = new URL(request.url, 'http://store')
    const call = `${request.method} ${url.pathname}`
    if (call === 'POST /auburnpin/rows-tx') await this.#transact(body, response)
    else if (call === 'GET /auburnpin/rows-get') this.#get(url.searchParams, response)
    else if (call === 'GET /auburnpin/rows-parts') this.#parts(url.searchParams, response)
    else if (call === 'GET /auburnpin/rows-feed') await this.#feed(url.searchParams, response)
    else sendJson(response, 404, {})
  }

  async #transact ({ expected_rev: checks = [], set_keys: puts = [], remove = [] }, response) {
    const entries = [...checks, ...puts, ...remove]
    const parts = new Set(entries.map(({ part = '' }) => part))
    if (entries.length > 100 || parts.size !== 1) return sendJson(response, 400, {})
    if ([...puts, ...remove].some(({ table }) => READ_ONLY_TABLES.has(table))) return sendJson(response, 403, {})
    const [part] = parts
    const freeAt = Math.max(performance.now(), this.#partFreeAt.get(part) ?? 0) + TX_MS
    this.#partFreeAt.set(part, freeAt)
    await new Promise(resolve => { setTimeout(resolve, freeAt - performance.now()) })
    const current = ({ table, key }) => this.#rows.get(path(table, part, key))
    if (checks.some(check => (current(check)?.ver ?? 0) !== check.ver)) {
      return sendJson(response, 412, { rows: checks.flatMap(check => current(check) ?? []), ...this.#time })
    }
    this.#version++
    for (const { table, key, value } of puts) this.#set({ table, part, key, value, ver: this.#version })
    for (const row of remove) if (current(row) !== undefined) this.#delete({ table: row.table, part, key: row.key })
    this.onCommit(puts.map(({ table, key, value }) => ({ table, part, key, text: Buffer.from(value, 'base64').toString() })))
    sendJson(response, 200, this.#time)
    this.#notify()
  }

  #get (query, response) {
    const table = query.get('table')
    const part = query.get('part') ?? ''
    const from = query.get('from_rev') ?? ''
    const to = query.get('target')
    const limit = Math.min(Number(query.get('limit') ?? MAX_ROWS), MAX_ROWS)
    const rows = [...this.#rows.values()].filter(row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to))
    rows.sort((one, other) => one.key < other.key ? -1 : 1)
    sendJson(response, 200, { rows: rows.slice(0, limit), has_more: rows.length > limit, ...this.#time })
  }

  #parts (query, response) {
    const parts = [...new Set([...this.#rows.values()].filter(({ table }) => table === query.get('table')).map(({ part }) => part))].sort()
    sendJson(response, 200, { parts: parts.filter(part => part > (query.get('after') ?? '')), ...this.#time })
  }

  async #feed (query, response) {
    const after = Number(query.get('after'))
    const endsAt = performance.now() + Number(query.get('wait_ms') ?? 0)
    for (;;) {
      if (after < this.#trimmedUntil) return sendJson(response, 410, {})
      const rows = this.#history.filter(({ row }) => row.ver > after && row.table === query.get('table')).map(({ row }) => row)
      if (rows.length > 0 || performance.now() >= endsAt) return sendJson(response, 200, { rows, ...this.#time })
      await new Promise(resolve => {
        const timer = setTimeout(done, Math.max(1, endsAt - performance.now()))
        const waiters = this.#waiters
        function done () {
          clearTimeout(timer)
          waiters.delete(done)
          resolve()
        }
        waiters.add(done)
      })
    }
  }
}

const path = (table, part, key) => JSON.stringify([table, part, key])
