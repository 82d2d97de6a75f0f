/**
 * Tells of rows that are longer than the store allows.
 */
import type { Clock, Instant, Log, LogFields, Metrics } from '@auburnpin/common'

/** Time between two records of the same row, in milliseconds; an owner commits many times a second. */
const RECORD_INTERVAL_MS = 10_000

const MAX_REMEMBERED_ROWS = 1_000

/**
 * A commit with such a row would be refused as a whole, and no later one would succeed either, so the row is left out. The
 * operator learns of it by a record and a count for each kind of row.
 *
 * @example
 * if (leftOut.isTooLong('layout-1', value, store.maxValueBytes)) return
 */
export class LeftOutRows {
  readonly #clock: Clock
  readonly #log: Log
  readonly #metrics: Metrics
  readonly #recordedAt = new Map<string, Instant>()

  constructor (clock: Clock, log: Log, metrics: Metrics) {
    this.#clock = clock
    this.#log = log
    this.#metrics = metrics
  }

  /** Whether a row with this value has to be left out, which is then recorded. */
  isTooLong (row: string, value: string, maxBytes: number): boolean {
    const bytes = Buffer.byteLength(value)
    if (bytes > maxBytes) this.record(row, { bytes, maxBytes })
    return bytes > maxBytes
  }

  /** Records that a row, or a part of it, is left out. The metric has the kind of the row, without a number or a job. */
  record (row: string, fields: LogFields): void {
    this.#metrics.count('rows.leftOut', 1, { row: row.split(/[- ]/, 1)[0] ?? row })
    const now = this.#clock.now()
    if (now - (this.#recordedAt.get(row) ?? -Infinity) < RECORD_INTERVAL_MS) return
    if (this.#recordedAt.size > MAX_REMEMBERED_ROWS) this.#recordedAt.clear()
    this.#recordedAt.set(row, now)
    this.#log.error('A row is longer than the store allows and is left out', { row, ...fields })
  }
}
