/**
 * An in-memory row store that simulates faults for one process or for all.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type Result, type RowVersion } from '@auburnpin/common'
import { RowStore, type RowTransaction, type RowChanges, type RowKey, type RowTransactionOutcome, type RowPage, type RowRange, type StoredRow, type StoreTime } from '@auburnpin/jobs'

/**
 * How the store responds to a process. `well`: no fault. `refusing`: calls are refused at once. `silent`: calls time out
 * and change nothing. `lost`: transactions are committed and time out. `late`: transactions time out and are committed
 * 3 s later. `broken`: the client throws at transactions.
 */
export type StoreFaultMode = 'well' | 'refusing' | 'silent' | 'lost' | 'late' | 'broken'

const CALL_TIMEOUT_MS = 800
const LATE_COMMIT_MS = 3_000
const SLOW_READ_MS = 2_000
const RESPONSE_MS = 8
const FEED_POLL_MS = 10

/** Reading of the store's clock at time 0, so that it differs from the clocks of the processes. */
const FIRST_STORE_TIME_MS = 5_000_000

type Change = Readonly<{ row: StoredRow, isDeleted: boolean }>

/** The rows that all processes share. */
export class FakeRows {
  readonly #clock: Clock
  readonly #parts = new Map<string, Map<string, StoredRow>>()
  #history: Change[] = []
  #trimmedVersion = 0
  #version = 0
  /** Faults by process name; `all` applies to processes without their own. */
  readonly faultModes = new Map<string, StoreFaultMode>()
  /** Whether range reads of the jobs table are slow. */
  slowJobReads = false
  /** Whether responses state the store's clock. */
  hasClock = true
  /** Most bytes of a value in base64. */
  maxRowBytes = 65_536

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get version (): RowVersion {
    return brand<RowVersion>(this.#version)
  }

  get storeTime (): StoreTime | undefined {
    return this.hasClock ? brand<StoreTime>(Math.floor(FIRST_STORE_TIME_MS + this.#clock.now())) : undefined
  }

  faultModeOf (process: string): StoreFaultMode {
    return this.faultModes.get(process) ?? this.faultModes.get('all') ?? 'well'
  }

  /** The store's client of one process. */
  clientFor (process: string): RowStore {
    return new FakeRowStore(this, process, this.#clock)
  }

  /** Writes a row unconditionally, as another client of the store. */
  put (table: string, part: string, key: string, value: string): void {
    this.apply({ part, checks: [], puts: [{ table, key, value }], deletes: [] })
  }

  /** Drops the history of all changes so far. */
  trim (): void {
    this.#trimmedVersion = this.#version
    this.#history = []
  }

  read (table: string, part: string, key: string): StoredRow | undefined {
    return this.#parts.get(partPath(table, part))?.get(key)
  }

  apply ({ part, checks, puts, deletes }: RowTransaction): RowTransactionOutcome {
    const differing = checks.filter(({ table, key, version }) => (this.read(table, part, key)?.version ?? 0) !== version)
    if (differing.length > 0) return { kind: 'conflict', rows: differing.flatMap(({ table, key }) => this.read(table, part, key) ?? []), version: this.version }
    this.#version++
    for (const { table, key, value } of puts) this.#record({ table, part, key, value, version: this.version }, false)
    for (const { table, key } of deletes) this.#record({ table, part, key, value: '', version: this.version }, true)
    return { kind: 'committed', version: this.version, storeTime: this.storeTime }
  }

  #record (row: StoredRow, isDeleted: boolean): void {
    const path = partPath(row.table, row.part)
    const rows = this.#parts.get(path) ?? new Map<string, StoredRow>()
    this.#parts.set(path, rows)
    if (isDeleted) rows.delete(row.key)
    else rows.set(row.key, row)
    this.#history.push({ row, isDeleted })
  }

  list ({ table, part, from, to, limit = Infinity }: RowRange): RowPage {
    const rows = [...this.#parts.get(partPath(table, part))?.values() ?? []].filter(row => row.key >= from && (to === '' || row.key < to))
    rows.sort((one, other) => one.key < other.key ? -1 : 1)
    return { rows: rows.slice(0, limit), hasMore: rows.length > limit, version: this.version, storeTime: this.storeTime }
  }

  since (table: string, after: RowVersion): RowChanges {
    if (after < this.#trimmedVersion) return { kind: 'trimmed' }
    const newest = new Map<string, Change>()
    for (const change of this.#history.slice(this.#indexAfter(after))) {
      if (change.row.table !== table) continue
      const path = `${change.row.part}/${change.row.key}`
      newest.delete(path)
      newest.set(path, change)
    }
    const changes = [...newest.values()]
    const changed = changes.filter(({ isDeleted }) => !isDeleted).map(({ row }) => row)
    const deleted: RowKey[] = changes.filter(({ isDeleted }) => isDeleted).map(({ row: { key } }) => ({ table, key }))
    return { kind: 'changes', changed, deleted, version: this.version }
  }

  // Most callers ask for the newest changes, and versions ascend.
  #indexAfter (version: RowVersion): number {
    let index = this.#history.length
    while (index > 0 && (this.#history[index - 1]?.row.version ?? 0) > version) index--
    return index
  }
}

/** Limits of the store for one transaction. */
const MAX_ENTRIES = 100
const MAX_CALL_BYTES = 1_000_000
const BASE64_GROWTH = 4 / 3

const isTooLarge = ({ checks, puts, deletes }: RowTransaction, maxRowBytes: number): boolean => {
  const sizes = puts.map(({ value }) => Buffer.byteLength(value) * BASE64_GROWTH)
  return checks.length + puts.length + deletes.length > MAX_ENTRIES || sizes.some(bytes => bytes > maxRowBytes) || sizes.reduce((sum, bytes) => sum + bytes, 0) > MAX_CALL_BYTES
}

const partPath = (table: string, part: string): string => `${table}/${part}`

class FakeRowStore extends RowStore {
  readonly #rows: FakeRows
  readonly #process: string
  readonly #clock: Clock

  constructor (rows: FakeRows, process: string, clock: Clock) {
    super()
    this.#rows = rows
    this.#process = process
    this.#clock = clock
  }

  override get maxValueBytes (): number {
    return Math.floor(this.#rows.maxRowBytes / BASE64_GROWTH)
  }

  async transact (change: RowTransaction): Promise<Result<RowTransactionOutcome, AuburnpinError>> {
    if (isTooLarge(change, this.#rows.maxRowBytes)) return Err(new AuburnpinError('invalid-request', 'The transaction has too many entries, or a row is too long', 'Divide it.'))
    const faultMode = this.#rows.faultModeOf(this.#process)
    if (faultMode === 'refusing') return Err(new AuburnpinError('unreachable', 'The store refused the call', 'Wait.'))
    if (faultMode === 'broken') throw new Error('an unexpected error of the client')
    await this.#clock.sleep(RESPONSE_MS)
    if (faultMode === 'well') return Ok(this.#rows.apply(change))
    if (faultMode === 'lost') this.#rows.apply(change)
    if (faultMode === 'late') this.#clock.after(LATE_COMMIT_MS, () => this.#rows.apply(change))
    await this.#clock.sleep(CALL_TIMEOUT_MS)
    return Err(new AuburnpinError('unknown-outcome', 'The store did not respond', 'Read back.'))
  }

  async range (range: RowRange): Promise<Result<RowPage, AuburnpinError>> {
    if (this.#rows.slowJobReads && range.table === 'jobs') await this.#clock.sleep(SLOW_READ_MS)
    const failure = await this.#injectFault()
    return failure ?? Ok(this.#rows.list(range))
  }

  async changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>> {
    const failure = await this.#injectFault()
    if (failure !== undefined) return failure
    for (let waitedMs = 0; ; waitedMs += FEED_POLL_MS) {
      const changes = this.#rows.since(table, after)
      if (changes.kind === 'trimmed' || changes.changed.length + changes.deleted.length > 0 || waitedMs >= waitMs) return Ok(changes)
      await this.#clock.sleep(FEED_POLL_MS)
    }
  }

  async #injectFault (): Promise<Err<AuburnpinError> | undefined> {
    const faultMode = this.#rows.faultModeOf(this.#process)
    if (faultMode === 'refusing') return Err(new AuburnpinError('unreachable', 'The store refused the call', 'Wait.'))
    await this.#clock.sleep(faultMode === 'silent' ? CALL_TIMEOUT_MS : RESPONSE_MS)
    return faultMode === 'silent' ? Err(new AuburnpinError('unreachable', 'The store did not respond', 'Wait.')) : undefined
  }
}
