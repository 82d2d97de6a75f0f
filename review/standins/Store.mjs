/**
 * Stand-in for the platform's store: rows in tables, atomic transactions and feeds of changes, kept in memory. It applies
 * the limits of the settings: entries and bytes of a call, bytes of a value, rows and bytes of a page, and the time that a
 * transaction takes.
 */
import { createServer } from 'node:http'
import { readBody, sendJson, sleep } from './http.mjs'

const MAX_ENTRIES = 100
const MAX_CALL_BYTES = 1_000_000
const MAX_PAGE_ROWS = 500
const MAX_PAGE_BYTES = 1_000_000
const FEED_POLL_MS = 10

export class Store {
  /** Called with each call that is refused as invalid. */
  onInvalid = () => {}
  /** Set to a function of the request to answer calls otherwise; returns whether it did. */
  intercept = undefined
  #limits
  #rows = new Map()
  #history = []
  #version = 0
  #partIsFreeAt = new Map()
  #server = createServer((request, response) => { this.#serve(request, response).catch(error => response.destroy(error)) })

  constructor (limits) {
    this.#limits = limits
  }

  async listen (host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    return `${host}:${this.#server.address().port}`
  }

  close () {
    this.#server.closeAllConnections()
    this.#server.close()
  }

  /** Writes a row as the operator or a server does. */
  put (table, part, key, value) {
    this.#apply([{ table, part, key, value: Buffer.from(value).toString('base64') }], [])
  }

  remove (table, part, key) {
    this.#apply([], [{ table, part, key }])
  }

  /** The value of a row as text. */
  read (table, part, key) {
    const row = this.#rows.get(pathOf({ table, part, key }))
    return row === undefined ? undefined : Buffer.from(row.value, 'base64').toString()
  }

  #apply (puts, deletes) {
    const ver = ++this.#version
    const at = performance.now()
    for (const { table, part = '', key, value } of puts) {
      const row = { table, part, key, value, ver }
      this.#rows.set(pathOf(row), row)
      this.#history.push({ at, row })
    }
    for (const { table, part = '', key } of deletes) {
      if (this.#rows.delete(pathOf({ table, part, key }))) this.#history.push({ at, row: { table, part, key, ver, deleted: true } })
    }
    return ver
  }

  async #serve (request, response) {
    const text = await readBody(request)
    const url = new URL(request.url, 'http://store')
    if (this.intercept !== undefined && await this.intercept(request, response, url, text)) return
    if (url.pathname === '/auburnpin/rows-tx') await this.#transact(text, response)
    else if (url.pathname === '/auburnpin/rows-get') await this.#get(url.searchParams, response)
    else if (url.pathname === '/auburnpin/rows-feed') await this.#feed(url.searchParams, response)
    else sendJson(response, 404, {})
  }

  async #transact (text, response) {
    const { expected_rev: checks = [], set_keys: puts = [], remove: deletes = [] } = JSON.parse(text)
    const parts = new Set([...checks, ...puts, ...deletes].map(({ part = '' }) => part))
    const invalid = this.#findInvalid(text, checks.length + puts.length + deletes.length, parts, puts)
    if (invalid !== undefined) {
      this.onInvalid(invalid)
      sendJson(response, 400, { error: invalid })
      return
    }
    await this.#waitForParts(parts)
    const differing = checks.filter(row => (this.#rows.get(pathOf(row))?.ver ?? 0) !== row.ver)
    if (differing.length > 0) {
      sendJson(response, 412, { rows: differing.map(row => this.#rows.get(pathOf(row))).filter(row => row !== undefined), ver: this.#version, now_ms: this.#now })
      return
    }
    if ([...puts, ...deletes].some(({ table }) => table === 'op' || table === 'servers')) {
      sendJson(response, 403, {})
      return
    }
    sendJson(response, 200, { ver: this.#apply(puts, deletes), now_ms: this.#now })
  }

  #findInvalid (text, entries, parts, puts) {
    if (entries > MAX_ENTRIES) return `a call with ${entries} entries`
    if (Buffer.byteLength(text) > MAX_CALL_BYTES) return `a call of ${Buffer.byteLength(text)} bytes`
    if (parts.size !== 1) return `a call for ${parts.size} parts`
    for (const { table, key, value } of puts) {
      const bytes = Buffer.from(value, 'base64').length
      if (bytes > this.#limits.rowBytes) return `a value of ${bytes} bytes for ${table}/${key}`
    }
    return undefined
  }

  // The transactions of one part are handled one after another.
  async #waitForParts (parts) {
    const now = performance.now()
    const spacingMs = 1_000 / this.#limits.partWritesPerS
    let startsAt = now
    for (const part of parts) startsAt = Math.max(startsAt, this.#partIsFreeAt.get(part) ?? 0)
    for (const part of parts) this.#partIsFreeAt.set(part, startsAt + spacingMs)
    await sleep(startsAt - now + this.#limits.txMs)
  }

  async #get (query, response) {
    await sleep(this.#limits.readMs)
    const table = query.get('table') ?? ''
    const part = query.get('part') ?? ''
    const from = Buffer.from(query.get('from_rev') ?? '')
    const to = query.get('target')
    const found = [...this.#rows.values()]
      .filter(row => row.table === table && row.part === part && Buffer.compare(Buffer.from(row.key), from) >= 0 && (to === null || Buffer.compare(Buffer.from(row.key), Buffer.from(to)) < 0))
      .sort((one, other) => Buffer.compare(Buffer.from(one.key), Buffer.from(other.key)))
    const rows = []
    let bytes = 0
    for (const row of found) {
      bytes += row.value.length
      if (rows.length === MAX_PAGE_ROWS || (rows.length > 0 && bytes > MAX_PAGE_BYTES)) break
      rows.push(row)
    }
    sendJson(response, 200, { rows, has_more: rows.length < found.length, ver: this.#version, now_ms: this.#now })
  }

  async #feed (query, response) {
    await sleep(this.#limits.readMs)
    const table = query.get('table') ?? ''
    const after = Number(query.get('after'))
    const endsAt = performance.now() + Number(query.get('wait_ms') ?? 0)
    for (;;) {
      this.#trim()
      if (this.#history.length === 0 ? after < this.#version && after < this.#trimmedTo : after < this.#trimmedTo) {
        sendJson(response, 410, {})
        return
      }
      const newest = new Map()
      for (const { row } of this.#history) {
        if (row.table !== table || row.ver <= after) continue
        newest.delete(pathOf(row))
        newest.set(pathOf(row), row)
      }
      if (newest.size > 0 || performance.now() >= endsAt || response.destroyed) {
        sendJson(response, 200, { rows: [...newest.values()], ver: this.#version, now_ms: this.#now })
        return
      }
      await sleep(FEED_POLL_MS)
    }
  }

  #trimmedTo = 0

  #trim () {
    const oldest = performance.now() - this.#limits.historyMs
    while (this.#history.length > 0 && this.#history[0].at < oldest) this.#trimmedTo = this.#history.shift().row.ver
  }

  get #now () {
    return Math.floor(performance.now())
  }
}

const pathOf = ({ table, part = '', key }) => JSON.stringify([table, part, key])
