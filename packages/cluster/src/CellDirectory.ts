/**
 * Who owns which cell, as the store tells it.
 */
import { brand, Ticker, type CellId, type Clock, type Log, type RowVersion } from '@auburnpin/common'
import type { Row, TableStore } from '@auburnpin/ports'
import { CELLS_PREFIX } from './storeKeys.ts'
import { DIRECTORY_POLL_MS } from './constants.ts'
import type { CellRow } from './types.ts'

/** A cell's row with the version to check when it is changed. */
export type CellSighting = Readonly<{ row: CellRow, version: Row['version'] }>

/** Polls the cells' rows. */
export class CellDirectory {
  readonly #table: TableStore
  readonly #log: Log
  readonly #ticker: Ticker
  readonly #listeners: Array<() => Promise<void> | void> = []
  #cells: ReadonlyMap<CellId, CellSighting> = new Map()

  #hasPolled = false

  constructor (table: TableStore, clock: Clock, log: Log) {
    this.#table = table
    this.#log = log
    this.#ticker = new Ticker(clock, DIRECTORY_POLL_MS, () => this.poll(), error => log.error(String(error)))
  }

  get cells (): ReadonlyMap<CellId, CellSighting> {
    return this.#cells
  }

  /** Calls `listener` after each look at the cells. */
  onPoll (listener: () => Promise<void> | void): void {
    this.#listeners.push(listener)
  }

  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** Takes over the cells that a peer knows, until this process has read the rows itself. */
  adopt (rows: readonly CellRow[]): void {
    if (this.#hasPolled) return
    const cells = new Map(this.#cells)
    for (const row of rows) {
      if (row.epoch > (cells.get(row.cell)?.row.epoch ?? 0)) cells.set(row.cell, { row, version: UNKNOWN_VERSION })
    }
    this.#cells = cells
  }

  /** Looks at all cells' rows once. */
  async poll (): Promise<void> {
    const rows = await this.#table.listAll(CELLS_PREFIX)
    if (rows.err) {
      this.#log.warn('The cells could not be read', { reason: rows.val.message })
      return
    }
    this.#hasPolled = true
    const cells = new Map(this.#cells)
    for (const { value, version } of rows.val) {
      const row = value as CellRow
      const before = cells.get(row.cell)
      // Two looks may overlap, and the older answer come last.
      if (before === undefined || before.version < version) cells.set(row.cell, { row, version })
    }
    this.#cells = cells
    for (const listener of this.#listeners) await listener()
  }
}

// Lower than every version that the store gives out.
const UNKNOWN_VERSION = brand<RowVersion>(0)
