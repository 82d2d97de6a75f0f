/**
 * The owners of the cells as last read from the store.
 */
import { brand, Ticker, type CellId, type Clock, type Log, type RowVersion } from '@auburnpin/common'
import type { Row, TableStore } from '@auburnpin/ports'
import { CELLS_PREFIX } from './storeKeys.ts'
import { DIRECTORY_POLL_MS } from './constants.ts'
import type { CellRow } from './types.ts'

/** A cell's row with the version that a transaction on it checks. */
export type ObservedCell = Readonly<{ row: CellRow, version: Row['version'] }>

/** Polls the rows of all cells. */
export class CellDirectory {
  readonly #table: TableStore
  readonly #log: Log
  readonly #ticker: Ticker
  readonly #listeners: Array<() => Promise<void> | void> = []
  #cells: ReadonlyMap<CellId, ObservedCell> = new Map()

  #hasPolled = false

  constructor (table: TableStore, clock: Clock, log: Log) {
    this.#table = table
    this.#log = log
    this.#ticker = new Ticker(clock, DIRECTORY_POLL_MS, () => this.poll(), error => log.error(String(error)))
  }

  get cells (): ReadonlyMap<CellId, ObservedCell> {
    return this.#cells
  }

  /** Calls `listener` after each successful poll. */
  onPoll (listener: () => Promise<void> | void): void {
    this.#listeners.push(listener)
  }

  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** Adopts a peer's view of the cells; ignored once this process has read the rows from the store. */
  adopt (rows: readonly CellRow[]): void {
    if (this.#hasPolled) return
    const cells = new Map(this.#cells)
    for (const row of rows) {
      if (row.epoch > (cells.get(row.cell)?.row.epoch ?? 0)) cells.set(row.cell, { row, version: UNKNOWN_VERSION })
    }
    this.#cells = cells
  }

  /** Reads the rows of all cells once. */
  async poll (): Promise<void> {
    const rows = await this.#table.listAll(CELLS_PREFIX)
    if (rows.err) {
      this.#log.warn('The rows of the cells could not be read', { reason: rows.val.message })
      return
    }
    this.#hasPolled = true
    const cells = new Map(this.#cells)
    for (const { value, version } of rows.val) {
      const row = value as CellRow
      const before = cells.get(row.cell)
      // Polls can overlap, so an older response may arrive last.
      if (before === undefined || before.version < version) cells.set(row.cell, { row, version })
    }
    this.#cells = cells
    for (const listener of this.#listeners) await listener()
  }
}

// Lower than every version that the store assigns.
const UNKNOWN_VERSION = brand<RowVersion>(0)
