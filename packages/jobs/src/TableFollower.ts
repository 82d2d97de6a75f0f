/**
 * Follows a table of the store: reads all its rows, then receives its changes.
 */
import { brand, Ok, type AuburnpinError, type Clock, type Instant, type Log, type Result, type RowVersion } from '@auburnpin/common'
import { FEED_RETRY_DELAY_MS, FEED_WAIT_MS } from './constants.ts'
import { OwnCommits } from './OwnCommits.ts'
import type { RowKey, RowStore, StoredRow } from './RowStore.ts'
import { TableReading } from './TableReading.ts'

/** Receives the rows of a table and their changes. */
export abstract class TableListener {
  /** Receives the whole table, at the start and whenever changes were missed. */
  abstract replaceAll (rows: readonly StoredRow[]): void
  abstract update (changed: readonly StoredRow[], deleted: readonly RowKey[]): void
}

/** `commits`: what this process commits to the table itself, if the listener acts on that. `onPage`: called with each page of a whole read. */
export type TableFollowerOptions = Readonly<{ commits?: OwnCommits, onPage?: () => void }>

/**
 * Keeps a listener up to date with a table. It reads the whole table again if the store has trimmed changes. What the
 * listener is told of a row never goes back in versions, neither behind what it was told nor behind `commits`.
 *
 * @example
 * const follower = new TableFollower(store, clock, log, 'jobs', parts, listener)
 * follower.start()
 */
export class TableFollower {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #table: string
  readonly #parts: readonly string[]
  readonly #listener: TableListener
  readonly #commits: OwnCommits
  readonly #onPage: (() => void) | undefined
  /** The read of the whole table in progress; continued after a failure. */
  #reading: TableReading | undefined
  #readCount = 0
  #version: RowVersion | undefined
  #currentAt: Instant | undefined
  #isStopped = false
  #isFailing = false

  constructor (store: RowStore, clock: Clock, log: Log, table: string, parts: readonly string[], listener: TableListener, { commits = new OwnCommits(table), onPage }: TableFollowerOptions = {}) {
    this.#store = store
    this.#clock = clock
    this.#log = log
    this.#table = table
    this.#parts = parts
    this.#listener = listener
    this.#commits = commits
    this.#onPage = onPage
  }

  /** Number of rows that the last read of the whole table has got so far. */
  get readCount (): number {
    return this.#reading?.rowCount ?? this.#readCount
  }

  /** The listener is up to date as of this time; `undefined` before the first read. */
  get currentAt (): Instant | undefined {
    return this.#currentAt
  }

  /** Follows the table until `stop`. */
  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  /** Reads the whole table once; `start` continues from that version. After a failure, the next call reads what is missing. */
  async readTable (): Promise<Result<void, AuburnpinError>> {
    this.#reading ??= new TableReading(this.#store, this.#clock, this.#table, this.#parts, this.#onPage)
    const reading = this.#reading
    const outcome = await reading.run()
    if (outcome.err && !reading.isTrimmed) return outcome
    this.#readCount = reading.rowCount
    this.#reading = undefined
    if (outcome.err) return outcome
    if (this.#isStopped) return Ok(undefined)
    const { rows, version, currentAt } = outcome.val
    this.#version = version
    this.#currentAt = currentAt
    const current = this.#commits.applyTo(rows, version)
    this.#commits.forgetUntil(version)
    this.#notify(() => this.#listener.replaceAll(current))
    return Ok(undefined)
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const outcome = this.#version === undefined ? await this.readTable() : await this.#follow(this.#version)
      if (this.#isStopped) return
      this.#logStateChange(outcome)
      if (outcome.err) await this.#clock.sleep(FEED_RETRY_DELAY_MS)
    }
  }

  async #follow (after: RowVersion): Promise<Result<void, AuburnpinError>> {
    const requestedAt = this.#clock.now()
    const outcome = await this.#store.changes(this.#table, after, FEED_WAIT_MS)
    if (outcome.err) return outcome
    if (this.#isStopped) return Ok(undefined)
    if (outcome.val.kind === 'trimmed') {
      this.#log.warn('Changes of a table were trimmed by the store; reading the table again', { table: this.#table, after })
      this.#version = undefined
      return Ok(undefined)
    }
    const { version } = outcome.val
    const changed = outcome.val.changed.filter(({ key }) => !this.#commits.isOutdated(key, version))
    const deleted = outcome.val.deleted.filter(({ key }) => !this.#commits.isOutdated(key, version))
    this.#commits.forgetUntil(version)
    this.#version = version
    // Without changes, the store responds only after the whole wait.
    const isUnchanged = outcome.val.changed.length === 0 && outcome.val.deleted.length === 0
    this.#currentAt = isUnchanged ? brand<Instant>(Math.min(requestedAt + FEED_WAIT_MS, this.#clock.now())) : requestedAt
    if (changed.length > 0 || deleted.length > 0) this.#update(changed, deleted)
    return Ok(undefined)
  }

  // A row that can't be applied costs no other row of the same change.
  #update (changed: readonly StoredRow[], deleted: readonly RowKey[]): void {
    const hasApplied = this.#notify(() => this.#listener.update(changed, deleted))
    if (hasApplied || changed.length + deleted.length === 1) return
    for (const row of changed) this.#notify(() => this.#listener.update([row], []), row.key)
    if (deleted.length > 0) this.#notify(() => this.#listener.update([], deleted))
  }

  // An unexpected error in one change must not keep the listener from later ones.
  #notify (action: () => void, row?: string): boolean {
    try {
      action()
      return true
    } catch (thrown) {
      this.#log.error('A change of a table could not be applied', { table: this.#table, version: this.#version, row, error: String(thrown) })
      return false
    }
  }

  #logStateChange (outcome: Result<void, AuburnpinError>): void {
    if (outcome.err === this.#isFailing) return
    this.#isFailing = outcome.err
    if (outcome.err) this.#log.warn('Following a table failed; retrying', { table: this.#table, error: outcome.val.message })
    else this.#log.info('Following a table again', { table: this.#table, version: this.#version })
  }
}
