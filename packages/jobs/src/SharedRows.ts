/**
 * Rows of the jobs table that the owner of a cell writes for the owner of another.
 */
import type { JobId, Log, RowVersion } from '@auburnpin/common'
import type { RowStore, StoredRow } from './RowStore.ts'
import { ABSENT_ROW_VERSION, jobPart, JOBS_TABLE } from './rows.ts'

type KnownRow = Readonly<{ version: RowVersion, value: string }>

/**
 * Writes a row only if it is still the one that this owner has seen. So a transaction of a former owner that is applied
 * late changes nothing once the next owner has written the row.
 *
 * @example
 * rows.seen(row)
 * if (rows.write(job, key, value)) settled.add(key)
 */
export class SharedRows {
  readonly #store: RowStore
  readonly #log: Log
  readonly #mayWrite: () => boolean
  /** The rows as the store has them. */
  readonly #known = new Map<string, KnownRow>()
  readonly #inProgress = new Set<string>()

  /** `mayWrite` returns whether the process still owns the cell. */
  constructor (store: RowStore, log: Log, mayWrite: () => boolean) {
    this.#store = store
    this.#log = log
    this.#mayWrite = mayWrite
  }

  has (key: string): boolean {
    return this.#known.has(key)
  }

  /** The store has this row. */
  seen (row: StoredRow): void {
    if (row.version > (this.#known.get(row.key)?.version ?? ABSENT_ROW_VERSION)) this.#known.set(row.key, row)
  }

  /** The store has no such row any more. */
  forget (key: string): void {
    this.#known.delete(key)
  }

  /** The whole table is about to be read anew. */
  forgetAll (): void {
    this.#known.clear()
  }

  /** Returns whether the store has a row with this value already; otherwise begins to write it, unless it is being written. */
  write (job: JobId, key: string, value: string): boolean {
    if (this.#known.get(key)?.value === value) return true
    void this.#put(job, key, value)
    return false
  }

  /** Deletes a row; returns whether it is certainly gone. */
  async delete (job: JobId, key: string): Promise<boolean> {
    return !this.#known.has(key) || await this.#put(job, key, undefined)
  }

  async #put (job: JobId, key: string, value: string | undefined): Promise<boolean> {
    if (this.#inProgress.has(key) || !this.#mayWrite()) return false
    this.#inProgress.add(key)
    try {
      return await this.#tryPut(job, key, value)
    } catch (thrown) {
      this.#log.error('A row for another cell could not be written', { row: key, error: String(thrown) })
      return false
    } finally {
      this.#inProgress.delete(key)
    }
  }

  async #tryPut (job: JobId, key: string, value: string | undefined): Promise<boolean> {
    const row = { table: JOBS_TABLE, key }
    const outcome = await this.#store.transact({
      part: jobPart(job),
      checks: [{ ...row, version: this.#known.get(key)?.version ?? ABSENT_ROW_VERSION }],
      puts: value === undefined ? [] : [{ ...row, value }],
      deletes: value === undefined ? [row] : []
    })
    if (outcome.err) return false
    const { val } = outcome
    if (val.kind === 'conflict') {
      const current = val.rows.find(other => other.key === key)
      if (current === undefined) this.#known.delete(key)
      else this.#known.set(key, current)
      return false
    }
    if (value === undefined) this.#known.delete(key)
    else this.#known.set(key, { version: val.version, value })
    return true
  }
}
