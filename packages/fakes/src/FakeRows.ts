/**
 * The store in memory, with the faults that it may have towards one process or all.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type Result, type RowVersion } from '@auburnpin/common'
import { RowStore, type RowChange, type RowChanges, type RowKey, type RowOutcome, type RowPage, type RowRange, type StoredRow } from '@auburnpin/jobs'

/** How the store treats a process. `lost`: changes are made and not answered; `late`: made 3 s later. */
export type StoreMood = 'well' | 'refusing' | 'silent' | 'lost' | 'late'

const CALL_TIMEOUT_MS = 800
const LATE_MS = 3_000
const SLOW_MS = 2_000
const ANSWER_MS = 8
const FEED_LOOK_MS = 10

type Change = Readonly<{ row: StoredRow, isDeleted: boolean }>

/** What all processes share. */
export class FakeRows {
  readonly #clock: Clock
  readonly #rows = new Map<string, StoredRow>()
  #history: Change[] = []
  #trimmedTo = 0
  #version = 0
  readonly moods = new Map<string, StoreMood>()
  /** Readings of jobs take long. */
  slowRanges = false

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get version (): RowVersion {
    return brand<RowVersion>(this.#version)
  }

  moodOf (process: string): StoreMood {
    return this.moods.get(process) ?? this.moods.get('all') ?? 'well'
  }

  /** The store as one process sees it. */
  seenBy (process: string): RowStore {
    return new SeenRows(this, process, this.#clock)
  }

  /** Writes a row as somebody else. */
  put (table: string, part: string, key: string, value: string): void {
    this.apply({ part, checks: [], puts: [{ table, key, value }], deletes: [] })
  }

  /** Forgets all changes so far. */
  trim (): void {
    this.#trimmedTo = this.#version
    this.#history = []
  }

  read (table: string, part: string, key: string): StoredRow | undefined {
    return this.#rows.get(nameOf(table, part, key))
  }

  apply ({ part, checks, puts, deletes }: RowChange): RowOutcome {
    const differing = checks.filter(({ table, key, version }) => (this.read(table, part, key)?.version ?? 0) !== version)
    if (differing.length > 0) return { kind: 'conflict', rows: differing.flatMap(({ table, key }) => this.read(table, part, key) ?? []) }
    this.#version++
    for (const { table, key, value } of puts) this.#record({ table, part, key, value, version: this.version }, false)
    for (const { table, key } of deletes) this.#record({ table, part, key, value: '', version: this.version }, true)
    return { kind: 'committed', version: this.version }
  }

  #record (row: StoredRow, isDeleted: boolean): void {
    const name = nameOf(row.table, row.part, row.key)
    if (isDeleted) this.#rows.delete(name)
    else this.#rows.set(name, row)
    this.#history.push({ row, isDeleted })
  }

  list ({ table, part, from, to }: RowRange): RowPage {
    const rows = [...this.#rows.values()].filter(row => row.table === table && row.part === part && row.key >= from && (to === '' || row.key < to))
    rows.sort((one, other) => one.key < other.key ? -1 : 1)
    return { rows, hasMore: false, version: this.version }
  }

  since (table: string, after: RowVersion): RowChanges {
    if (after < this.#trimmedTo) return { kind: 'trimmed' }
    const changes = this.#history.filter(({ row }) => row.table === table && row.version > after)
    const changed = changes.filter(({ isDeleted }) => !isDeleted).map(({ row }) => row)
    const deleted: RowKey[] = changes.filter(({ isDeleted }) => isDeleted).map(({ row: { key } }) => ({ table, key }))
    return { kind: 'changes', changed, deleted, version: this.version }
  }
}

const nameOf = (table: string, part: string, key: string): string => `${table}/${part}/${key}`

class SeenRows extends RowStore {
  readonly #rows: FakeRows
  readonly #process: string
  readonly #clock: Clock

  constructor (rows: FakeRows, process: string, clock: Clock) {
    super()
    this.#rows = rows
    this.#process = process
    this.#clock = clock
  }

  async transact (change: RowChange): Promise<Result<RowOutcome, AuburnpinError>> {
    const mood = this.#rows.moodOf(this.#process)
    if (mood === 'refusing') return Err(new AuburnpinError('unreachable', 'refused', 'Wait.'))
    await this.#clock.sleep(ANSWER_MS)
    if (mood === 'well') return Ok(this.#rows.apply(change))
    if (mood === 'lost') this.#rows.apply(change)
    if (mood === 'late') this.#clock.after(LATE_MS, () => this.#rows.apply(change))
    await this.#clock.sleep(CALL_TIMEOUT_MS)
    return Err(new AuburnpinError('unknown-outcome', 'no answer', 'Read back.'))
  }

  async range (range: RowRange): Promise<Result<RowPage, AuburnpinError>> {
    if (this.#rows.slowRanges && range.table === 'jobs') await this.#clock.sleep(SLOW_MS)
    const failure = await this.#failure()
    return failure ?? Ok(this.#rows.list(range))
  }

  async changes (table: string, after: RowVersion, waitMs: number): Promise<Result<RowChanges, AuburnpinError>> {
    const failure = await this.#failure()
    if (failure !== undefined) return failure
    for (let waitedMs = 0; ; waitedMs += FEED_LOOK_MS) {
      const changes = this.#rows.since(table, after)
      if (changes.kind === 'trimmed' || changes.changed.length + changes.deleted.length > 0 || waitedMs >= waitMs) return Ok(changes)
      await this.#clock.sleep(FEED_LOOK_MS)
    }
  }

  async #failure (): Promise<Err<AuburnpinError> | undefined> {
    const mood = this.#rows.moodOf(this.#process)
    if (mood === 'refusing') return Err(new AuburnpinError('unreachable', 'refused', 'Wait.'))
    await this.#clock.sleep(mood === 'silent' ? CALL_TIMEOUT_MS : ANSWER_MS)
    return mood === 'silent' ? Err(new AuburnpinError('unreachable', 'no answer', 'Wait.')) : undefined
  }
}
