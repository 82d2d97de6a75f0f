/**
 * Observes the other cells of a deployment for the owner of the first cell.
 */
import { type Clock, type Instant, type RowVersion } from '@auburnpin/common'
import { MAX_FORECAST_AGE_MS, type CellBacklog, type CellLoad, type CellWaits } from '@auburnpin/core'
import { TERM_EXPIRY_MS, TERM_POLL_INTERVAL_MS } from './constants.ts'
import type { RowStore } from './RowStore.ts'
import { cellAt, readTerm, TERM_KEY, TERMS_TABLE, type PublishedCells, type Term } from './rows.ts'
import { cellLoad } from './cellLoad.ts'
import { soundTerm } from './soundTerm.ts'

type ObservedCell = Readonly<{ term: Term, version: RowVersion, changedAt: Instant }>

/**
 * Reads the terms of all cells but the first, so that one process reads each of them and all processes read the summary.
 *
 * @example
 * const monitor = new CellMonitor(store, clock, term.cells)
 * monitor.setCellCount(3)
 * monitor.start()
 */
export class CellMonitor {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #observed = new Map<number, ObservedCell>()
  /** What the owner before published; stands until each cell has been read. */
  readonly #before: PublishedCells | undefined
  #cellCount = 1
  #isStopped = false

  constructor (store: RowStore, clock: Clock, before: PublishedCells | undefined) {
    this.#store = store
    this.#clock = clock
    this.#before = before
  }

  /** Number of cells of the layout that is stored. */
  setCellCount (count: number): void {
    this.#cellCount = count
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  /** State of all cells, with that of the first as its owner knows it; `undefined` while there is only one. */
  publish (layoutVersion: number, first: CellLoad): PublishedCells | undefined {
    if (this.#cellCount <= 1) return undefined
    if (this.#before !== undefined && this.#before.loads.some((_, index) => index > 0 && !this.#observed.has(index))) return { ...this.#before, waits: undefined, backlogs: undefined }
    const now = this.#clock.now()
    const pending = new Map<string, number>()
    const loads = [first]
    const waits: (CellWaits | null)[] = [null]
    const backlogs: (CellBacklog | null)[] = [null]
    const keptTasks: (number | null)[] = [null]
    for (let index = 1; index < this.#cellCount; index++) {
      const observed = this.#observed.get(index)
      for (const [queue, count] of Object.entries(observed?.term.pending ?? {})) pending.set(queue, (pending.get(queue) ?? 0) + count)
      const isRecent = observed !== undefined && isOwned(observed, now) && now - observed.changedAt <= MAX_FORECAST_AGE_MS
      waits.push(isRecent ? observed.term.waits ?? null : null)
      backlogs.push(isRecent ? observed.term.backlog ?? null : null)
      const { workers = 0, evacuatedWorkers = 0, loadPercent = 0 } = observed?.term ?? {}
      loads.push(cellLoad(workers, evacuatedWorkers, loadPercent, observed !== undefined && isOwned(observed, now)))
      keptTasks.push(observed?.term.keptTasks ?? null)
    }
    return { layoutVersion, loads, pending: Object.fromEntries(pending), keptTasks, waits: waits.some(ofCell => ofCell !== null) ? waits : undefined, backlogs: backlogs.some(ofCell => ofCell !== null) ? backlogs : undefined }
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const indexes = Array.from({ length: this.#cellCount - 1 }, (_, position) => position + 1)
      await Promise.all(indexes.map(index => this.#read(index)))
      await this.#clock.sleep(TERM_POLL_INTERVAL_MS)
    }
  }

  async #read (index: number): Promise<void> {
    const page = await this.#store.range({ table: TERMS_TABLE, part: cellAt(index), from: TERM_KEY, to: `${TERM_KEY}~` })
    if (page.err) return
    const row = page.val.rows.find(({ key }) => key === TERM_KEY)
    if (row === undefined || this.#observed.get(index)?.version === row.version) return
    const term = soundTerm(readTerm(row.value), row.version)
    if (term === undefined) return
    this.#observed.set(index, { term, version: row.version, changedAt: this.#clock.now() })
  }
}

const isOwned = ({ term, changedAt }: ObservedCell, now: Instant): boolean => term.holder !== '' && now - changedAt < TERM_EXPIRY_MS
