/**
 * Follows a table: reads it whole, then takes in its changes.
 */
import { brand, Ok, type AuburnpinError, type Clock, type Instant, type Log, type Result, type RowVersion } from '@auburnpin/common'
import { FEED_RETRY_MS, FEED_WAIT_MS } from './constants.ts'
import { readAll } from './readAll.ts'
import type { RowKey, RowStore, StoredRow } from './RowStore.ts'
import { NO_ROW } from './rows.ts'

/** Takes in what a follower learns. */
export abstract class TableReader {
  /** The whole table, after the start and whenever changes were missed. */
  abstract replaceAll (rows: readonly StoredRow[]): void
  abstract change (changed: readonly StoredRow[], deleted: readonly RowKey[]): void
}

/**
 * Keeps a reader up to date from the table's changes, and reads anew if the store has dropped some.
 *
 * @example
 * const follower = new TableFollower(store, clock, log, 'jobs', parts, reader)
 * follower.start()
 */
export class TableFollower {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #table: string
  readonly #parts: readonly string[]
  readonly #reader: TableReader
  #version: RowVersion | undefined
  #currentAt: Instant | undefined
  #isStopped = false
  #isFailing = false

  constructor (store: RowStore, clock: Clock, log: Log, table: string, parts: readonly string[], reader: TableReader) {
    this.#store = store
    this.#clock = clock
    this.#log = log
    this.#table = table
    this.#parts = parts
    this.#reader = reader
  }

  /** The reader knows all that the table held at this moment; `undefined` before the first reading. */
  get currentAt (): Instant | undefined {
    return this.#currentAt
  }

  /** Follows until `stop`. */
  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Reads the whole table once; `start` goes on from there. */
  async readWhole (): Promise<Result<void, AuburnpinError>> {
    const askedAt = this.#clock.now()
    const rows: StoredRow[] = []
    let version: RowVersion | undefined
    const parts = await Promise.all(this.#parts.map(part => readAll(this.#store, this.#table, part)))
    for (const part of parts) {
      if (part.err) return part
      rows.push(...part.val.rows)
      if (version === undefined || part.val.version < version) version = part.val.version
    }
    if (this.#isStopped) return Ok(undefined)
    this.#version = version ?? NO_ROW
    this.#currentAt = askedAt
    this.#reader.replaceAll(rows)
    return Ok(undefined)
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const outcome = this.#version === undefined ? await this.readWhole() : await this.#follow(this.#version)
      if (this.#isStopped) return
      this.#tellState(outcome)
      if (outcome.err) await this.#clock.sleep(FEED_RETRY_MS)
    }
  }

  async #follow (after: RowVersion): Promise<Result<void, AuburnpinError>> {
    const askedAt = this.#clock.now()
    const outcome = await this.#store.changes(this.#table, after, FEED_WAIT_MS)
    if (outcome.err) return outcome
    if (this.#isStopped) return Ok(undefined)
    if (outcome.val.kind === 'trimmed') {
      this.#log.warn('Changes of a table were dropped by the store; it is read anew', { table: this.#table, after })
      this.#version = undefined
      return Ok(undefined)
    }
    const { changed, deleted, version } = outcome.val
    this.#version = version
    // An answer without changes came only after the whole wait.
    const isQuiet = changed.length === 0 && deleted.length === 0
    this.#currentAt = isQuiet ? brand<Instant>(Math.min(askedAt + FEED_WAIT_MS, this.#clock.now())) : askedAt
    if (changed.length > 0 || deleted.length > 0) this.#reader.change(changed, deleted)
    return Ok(undefined)
  }

  #tellState (outcome: Result<void, AuburnpinError>): void {
    if (outcome.err === this.#isFailing) return
    this.#isFailing = outcome.err
    if (outcome.err) this.#log.warn('Table can no longer be followed', { table: this.#table, error: outcome.val.message })
    else this.#log.info('Table is followed again', { table: this.#table, version: this.#version })
  }
}
