/**
 * Free capacity of other cells, for tasks that the own cell can't hold.
 */
import { brand, type CellId, type Clock, type Instant } from '@auburnpin/common'
import type { FreePieces, StepRecord, TaskRecord } from '@auburnpin/core'
import type { CellChooser } from './CellChooser.ts'
import { LASTING_REFUSAL_MS, MAX_REFUSAL_MS, MAX_CAPACITY_READS, MIN_REFUSAL_MS } from './constants.ts'
import type { RowStore } from './RowStore.ts'
import { cellAt, indexOfCell, readTerm, TERM_KEY, TERMS_TABLE, type PublishedCells, type Term } from './rows.ts'
import { soundTerm } from './soundTerm.ts'

/** Pieces of one size that are told apart; more are not delegated to at once. */
const MAX_PIECES_PER_SIZE = 100

/** For each cell, the processors of single workers, largest first. */
type Pieces = ReadonlyMap<CellId, number[]>

type Refusal = Readonly<{ until: Instant, delayMs: number }>

/**
 * Chooses the cell that a task is delegated to, by what the owners of other cells publish in their terms.
 *
 * @example
 * const capacity = new RemoteCapacity(store, clock, cells, cell)
 * await capacity.read(loads)
 * capacity.take(task, false, now) // 'cell-1'
 */
export class RemoteCapacity {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #cells: CellChooser
  readonly #own: number
  /** Free processors of single workers now, and once all tasks have ended that end by themselves. */
  #freeNow: Pieces = new Map()
  #freeLater: Pieces = new Map()
  readonly #refusals = new WeakMap<StepRecord, Map<CellId, Refusal>>()

  constructor (store: RowStore, clock: Clock, cells: CellChooser, own: CellId) {
    this.#store = store
    this.#clock = clock
    this.#cells = cells
    this.#own = indexOfCell(own)
  }

  /** Reads the terms of the least loaded of the other cells. */
  async read (loads: PublishedCells['loads']): Promise<void> {
    const able = [...loads.entries()].filter(([index, load]) => index !== this.#own && load.isOwned && load.isEvacuated !== true)
    const leastLoaded = able.sort(([, one], [, other]) => one.loadPercent - other.loadPercent).slice(0, MAX_CAPACITY_READS)
    const freeNow = new Map<CellId, number[]>()
    const freeLater = new Map<CellId, number[]>()
    await Promise.all(leastLoaded.map(async ([index]) => {
      const cell = cellAt(index)
      const term = await this.#readTerm(cell)
      if (term?.free === undefined) return
      freeNow.set(cell, listPieces(term.free))
      freeLater.set(cell, listPieces(term.freeLater ?? []))
    }))
    this.#freeNow = freeNow
    this.#freeLater = freeLater
  }

  async #readTerm (cell: CellId): Promise<Term | undefined> {
    const page = await this.#store.range({ table: TERMS_TABLE, part: cell, from: TERM_KEY, to: `${TERM_KEY}~` })
    const row = page.ok ? page.val.rows.find(({ key }) => key === TERM_KEY) : undefined
    const term = row === undefined ? undefined : soundTerm(readTerm(row.value), row.version)
    return term === undefined || term.holder === '' ? undefined : term
  }

  /**
   * The cell with the largest free piece that may hold a task, which counts as used from then on; `undefined` if there is none.
   * An interrupted task for which its own cell holds no worker (`isHeld`) may also wait for a piece elsewhere.
   */
  take (task: TaskRecord, isHeld: boolean, now: Instant): CellId | undefined {
    return this.#takeFrom(this.#freeNow, task, now) ?? (task.isInterrupted && !isHeld ? this.#takeFrom(this.#freeLater, task, now) : undefined)
  }

  #takeFrom (pieces: Pieces, { step }: TaskRecord, now: Instant): CellId | undefined {
    const { shape, job: { job } } = step
    // A filler runs on processors that other tasks have reserved and don't use.
    const needed = shape.isFiller ? 0 : shape.processors
    let best: CellId | undefined
    let largest = -1
    for (const [cell, ofCell] of pieces) {
      const [piece = 0] = ofCell
      if (piece < needed || piece <= largest || this.#isRefused(step, cell, now) || !this.#cells.canRunStep(job, shape, cell)) continue
      best = cell
      largest = piece
    }
    if (best !== undefined) takeFromLargest(pieces.get(best) ?? [], needed)
    return best
  }

  #isRefused (step: StepRecord, cell: CellId, now: Instant): boolean {
    return (this.#refusals.get(step)?.get(cell)?.until ?? -Infinity) > now
  }

  /** A cell has given tasks of a step back. */
  refused (step: StepRecord, cell: CellId): void {
    const refusals = this.#refusals.get(step) ?? new Map<CellId, Refusal>()
    const delayMs = step.shape.isLasting ? LASTING_REFUSAL_MS : Math.min(MAX_REFUSAL_MS, 2 * (refusals.get(cell)?.delayMs ?? MIN_REFUSAL_MS / 2))
    refusals.set(cell, { until: brand<Instant>(this.#clock.now() + delayMs), delayMs })
    this.#refusals.set(step, refusals)
  }
}

const listPieces = (free: FreePieces): number[] => free.flatMap(([processors, workers]) => new Array<number>(Math.min(workers, MAX_PIECES_PER_SIZE)).fill(processors))

const takeFromLargest = (pieces: number[], needed: number): void => {
  const [largest = 0] = pieces.splice(0, 1)
  const rest = largest - needed
  const at = pieces.findIndex(piece => piece <= rest)
  pieces.splice(at < 0 ? pieces.length : at, 0, rest)
}
