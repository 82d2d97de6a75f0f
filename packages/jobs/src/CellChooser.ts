/**
 * Choice of the cell of a new job, from what the owner of the first cell publishes.
 */
import { type CellId, type Clock, type Log, type Random } from '@auburnpin/common'
import { canRun, canRunStep, chooseCell, chooseTransfer, type Job, type JobStep, type Layout } from '@auburnpin/core'
import { FIRST_CELL, TERM_POLL_INTERVAL_MS } from './constants.ts'
import type { RowStore } from './RowStore.ts'
import { cellAt, indexOfCell, LAYOUT_KEY_RANGE, readLayout, TERMS_TABLE, type PublishedCells } from './rows.ts'

/**
 * Keeps a copy of the layout and reads it again when the published version changes. Until it knows the layout, all jobs
 * go to the first cell.
 *
 * @example
 * const chooser = new CellChooser(store, clock, log, random, () => elections.publishedCells)
 * chooser.start()
 * const cell = chooser.choose(job)
 */
export class CellChooser {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #random: Random
  readonly #published: () => PublishedCells | undefined
  #layout: Layout | undefined
  #isStopped = false

  constructor (store: RowStore, clock: Clock, log: Log, random: Random, published: () => PublishedCells | undefined) {
    this.#store = store
    this.#clock = clock
    this.#log = log
    this.#random = random
    this.#published = published
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  choose (job: Job): CellId {
    const loads = this.#published()?.loads
    if (loads === undefined || this.#layout === undefined) return FIRST_CELL
    return cellAt(chooseCell(job, this.#layout.cells, loads, this.#random.fraction()))
  }

  /** Indexes of the cells with an owner that `choose` may return for a job. */
  candidates (job: Job): readonly number[] {
    const loads = this.#published()?.loads
    if (loads === undefined || this.#layout === undefined) return [indexOfCell(FIRST_CELL)]
    const { cells } = this.#layout
    const able = [...cells.keys()].filter(index => loads[index]?.isOwned === true && canRun(job, cells[index]))
    const notEvacuated = able.filter(index => loads[index]?.isEvacuated !== true)
    return notEvacuated.length > 0 ? notEvacuated : able
  }

  /**
   * The less loaded cell that a job which waits in `from` should go to; `undefined` if there is none. All jobs leave an
   * evacuated cell, so they are divided among the others as new ones are.
   */
  chooseTransfer (job: Job, from: CellId, loads: PublishedCells['loads']): CellId | undefined {
    if (this.#layout === undefined) return undefined
    if (loads[indexOfCell(from)]?.isEvacuated === true) {
      const to = chooseCell(job, this.#layout.cells, loads, this.#random.fraction())
      const load = loads[to]
      return load?.isOwned === true && load.isEvacuated !== true && canRun(job, this.#layout.cells[to]) ? cellAt(to) : undefined
    }
    const index = chooseTransfer(job, indexOfCell(from), this.#layout.cells, loads)
    return index === undefined ? undefined : cellAt(index)
  }

  /** Whether the workers of a cell can run the tasks of a step. */
  canRunStep (job: Job, step: JobStep, cell: CellId): boolean {
    return canRunStep(job, step, this.#layout?.cells[indexOfCell(cell)])
  }

  /** Loads of all cells as last published; `undefined` in a deployment with one cell. */
  get loads (): PublishedCells['loads'] | undefined {
    return this.#published()?.loads
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const published = this.#published()
      if (published !== undefined && (this.#layout?.version !== published.layoutVersion || this.#layout.cells.length < published.loads.length)) await this.#readLayout()
      await this.#clock.sleep(TERM_POLL_INTERVAL_MS)
    }
  }

  async #readLayout (): Promise<void> {
    const page = await this.#store.range({ table: TERMS_TABLE, part: FIRST_CELL, ...LAYOUT_KEY_RANGE })
    if (page.err) return
    const layout = readLayout(page.val.rows)
    if (layout === undefined) {
      this.#log.warn('The layout is missing or cannot be read; the earlier one stays in use', { version: this.#layout?.version })
      return
    }
    this.#layout = layout
    this.#log.info('Layout in use', { version: layout.version, cells: layout.cells.length })
  }
}
