/**
 * Room that other cells have for tasks that the own cell can't hold.
 */
import { type CellId, type Clock, type Instant } from '@auburnpin/common'
import type { FreePieces, StepRecord, TaskRecord } from '@auburnpin/core'
import type { CellChooser } from './CellChooser.ts'
import { MAX_REFUSAL_MS, MAX_ROOM_READS, MIN_REFUSAL_MS } from './constants.ts'
import type { RowStore } from './RowStore.ts'
import { cellAt, indexOfCell, readTerm, TERM_KEY, TERMS_TABLE, type PublishedCells } from './rows.ts'
import { soundTerm } from './soundTerm.ts'

type Refusal = Readonly<{ until: Instant, delayMs: number }>

/**
 * Reads from the terms of other cells what is free there, only when tasks wait, and chooses a cell for each of them.
 *
 * @example
 * const room = new DelegateRoom(store, clock, cells, cell)
 * await room.read(loads)
 * room.take(task, now) // 'cell-1'
 */
export class DelegateRoom {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #cells: CellChooser
  readonly #own: number
  /** Free processors of single workers of each cell, largest first. */
  #pieces = new Map<CellId, number[]>()
  readonly #refusals = new WeakMap<StepRecord, Map<CellId, Refusal>>()

  constructor (store: RowStore, clock: Clock, cells: CellChooser, own: CellId) {
    this.#store = store
    this.#clock = clock
    this.#cells = cells
    this.#own = indexOfCell(own)
  }

  /** Reads the room of the least loaded of the other cells. */
  async read (loads: PublishedCells['loads']): Promise<void> {
    const able = [...loads.entries()].filter(([index, load]) => index !== this.#own && load.isOwned && load.isEvacuated !== true)
    const nearest = able.sort(([, one], [, other]) => one.loadPercent - other.loadPercent).slice(0, MAX_ROOM_READS)
    const pieces = new Map<CellId, number[]>()
    await Promise.all(nearest.map(async ([index]) => {
      const free = await this.#readOne(cellAt(index))
      if (free !== undefined) pieces.set(cellAt(index), free.flatMap(([processors, workers]) => new Array<number>(Math.min(workers, MAX_PIECES_PER_SIZE)).fill(processors)))
    }))
    this.#pieces = pieces
  }

  async #readOne (cell: CellId): Promise<FreePieces | undefined> {
    const page = await this.#store.range({ table: TERMS_TABLE, part: cell, from: TERM_KEY, to: `${TERM_KEY}~` })
    const row = page.ok ? page.val.rows.find(({ key }) => key === TERM_KEY) : undefined
    const term = row === undefined ? undefined : soundTerm(readTerm(row.value), row.version)
    return term === undefined || term.holder === '' ? undefined : term.free
  }

  /** The cell with the largest free piece that may hold a task, which counts as used from then on; `undefined` if there is none. */
  take ({ step }: TaskRecord, now: Instant): CellId | undefined {
    const { shape, job: { job } } = step
    // A filler runs on processors that other tasks have reserved and don't use.
    const needed = shape.isFiller ? 0 : shape.processors
    let best: CellId | undefined
    let largest = -1
    for (const [cell, pieces] of this.#pieces) {
      const piece = Math.max(0, ...pieces)
      if (piece < needed || piece <= largest || this.#isRefused(step, cell, now) || !this.#cells.canRunStep(job, shape, cell)) continue
      best = cell
      largest = piece
    }
    if (best !== undefined) this.#use(best, largest, needed)
    return best
  }

  #use (cell: CellId, piece: number, needed: number): void {
    const pieces = this.#pieces.get(cell) ?? []
    const index = pieces.indexOf(piece)
    if (index >= 0) pieces[index] = piece - needed
  }

  #isRefused (step: StepRecord, cell: CellId, now: Instant): boolean {
    return (this.#refusals.get(step)?.get(cell)?.until ?? -Infinity) > now
  }

  /** A cell has given tasks of a step back. */
  refused (step: StepRecord, cell: CellId): void {
    const refusals = this.#refusals.get(step) ?? new Map<CellId, Refusal>()
    const delayMs = Math.min(MAX_REFUSAL_MS, 2 * (refusals.get(cell)?.delayMs ?? MIN_REFUSAL_MS / 2))
    refusals.set(cell, { until: (this.#clock.now() + delayMs) as Instant, delayMs })
    this.#refusals.set(step, refusals)
  }
}

/** Pieces of one size that are told apart; more are not delegated to at once. */
const MAX_PIECES_PER_SIZE = 100
