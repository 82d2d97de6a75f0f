/**
 * The workers that belong to a cell.
 */
import type { Clock, Epoch, Instant, Log, WorkerId } from '@auburnpin/common'
import { assignRacks, chooseLeavingRacks, covers, EMPTY_LAYOUT, moveRack, NO_WORKERS, offerOf, rackKey, type CellWorkers, type Layout, type RackLoad, type WorkerEntry } from '@auburnpin/core'
import { FIRST_CELL, RACKS_POLL_INTERVAL_MS } from './constants.ts'
import type { RowStore } from './RowStore.ts'
import { cellAt, layoutCellKey, readCellWorkers, TERMS_TABLE } from './rows.ts'

/** While fewer workers are listed than this share of a full cell, new racks are assigned at once: the deployment needs one cell. */
const IMMEDIATE_SHARE = 0.5
/** Above that, new racks are assigned once no more workers have joined for this many milliseconds, as their sizes decide who gets them. */
const SETTLE_MS = 1_000
/** Longest such wait in milliseconds. */
const MAX_SETTLE_MS = 3_000

/** Tells the owner of a cell which of the listed workers are its own. */
export abstract class CellMembership {
  /** Notes the list of all workers of the deployment after `changed` have changed. */
  abstract update (all: ReadonlyMap<WorkerId, WorkerEntry>, changed: readonly WorkerEntry[]): void
  abstract has (entry: WorkerEntry): boolean
  /** What is added to the epoch of the term in orders for a worker. */
  abstract epochOffset (entry: WorkerEntry): number
  /** Reads the racks of the cell at the start of a term; returns `false` if that failed. */
  abstract read (): Promise<boolean>
  /** Follows changes that others make until `stop`. */
  abstract start (): void
  abstract stop (): void
}

/** What the first cell's membership needs from the owner. */
export abstract class LayoutHost {
  /** The highest epoch that a call of this owner has. */
  abstract get epoch (): Epoch
  /** Workers that this owner or an earlier one may have sent orders to. */
  abstract get usedWorkers (): ReadonlySet<WorkerId>
  /** The workers that the owner still has, also those of leaving racks, by their racks; `undefined` while the rack of one is unknown. */
  abstract rackLoads (): readonly RackLoad[] | undefined
  /** Stores a layout together with the workers that the owner uses from now on. */
  abstract storeLayout (layout: Layout): void
  /** The racks of the cell have changed. */
  abstract membersChanged (): void
}

/**
 * Membership of the first cell, whose owner assigns the racks of the whole deployment. While there is one cell nothing
 * is stored, since every worker belongs to it. When the deployment has outgrown its cells, racks leave the first one:
 * their workers get no new tasks, and once all their runs and leases have ended for certain, the rack is moved in the
 * same transaction that removes them from the workers that this owner uses. So no worker ever has two owners.
 */
export class LayoutMembership extends CellMembership {
  readonly #host: LayoutHost
  readonly #clock: Clock
  readonly #log: Log
  readonly #workersPerCell: number
  readonly #maxRowBytes: number
  #layout: Layout = EMPTY_LAYOUT
  #cellOfRack: ReadonlyMap<string, number> = new Map()
  #all: ReadonlyMap<WorkerId, WorkerEntry> = new Map()
  #leaving: ReadonlySet<string> = new Set()
  /** Workers whose racks belong to no cell yet, and when the first and the last of them joined. */
  readonly #unassigned = new Set<WorkerId>()
  #unassignedSince: Instant | undefined
  #lastUnassignedAt: Instant | undefined
  #isStopped = false

  constructor (host: LayoutHost, clock: Clock, log: Log, workersPerCell: number, maxRowBytes: number) {
    super()
    this.#host = host
    this.#clock = clock
    this.#log = log
    this.#workersPerCell = workersPerCell
    this.#maxRowBytes = maxRowBytes
  }

  get layout (): Layout {
    return this.#layout
  }

  /** Continues with the layout of an earlier owner. */
  restore (layout: Layout): void {
    this.#layout = layout
    this.#cellOfRack = new Map(layout.cells.flatMap(({ racks }, index) => racks.map(rack => [rack, index] as const)))
  }

  update (all: ReadonlyMap<WorkerId, WorkerEntry>, changed: readonly WorkerEntry[]): void {
    this.#all = all
    const hasOutgrown = all.size > this.#layout.cells.length * this.#workersPerCell
    const uncovered = changed.filter(entry => !this.#isCovered(entry))
    if (uncovered.length === 0 && !hasOutgrown) return
    if (all.size <= this.#workersPerCell * IMMEDIATE_SHARE) {
      this.#assign(this.#layout, all.values())
      return
    }
    const { usedWorkers } = this.#host
    const used = uncovered.filter(({ id }) => usedWorkers.has(id))
    if (used.length > 0) this.#assign(this.#layout, used)
    if (uncovered.every(({ id }) => this.#unassigned.has(id)) && !hasOutgrown) return
    for (const { id } of uncovered) {
      if (!this.#unassigned.has(id)) this.#lastUnassignedAt = this.#clock.now()
      this.#unassigned.add(id)
    }
    this.#unassignedSince ??= this.#clock.now()
    this.#lastUnassignedAt ??= this.#unassignedSince
  }

  #assign (layout: Layout, entries: Iterable<WorkerEntry>): void {
    const assigned = assignRacks(layout, entries, this.#host.usedWorkers, this.#workersPerCell, this.#maxRowBytes)
    if (assigned === this.#layout) return
    this.restore(assigned)
    if (assigned.cells.length > 1) this.#host.storeLayout(assigned)
  }

  // Most changes of entries, such as a worker that drains, do not concern the layout.
  #isCovered (entry: WorkerEntry): boolean {
    const cell = this.#cellOfRack.get(rackKey(entry))
    const offer = cell === undefined ? undefined : offerOf(this.#layout.cells[cell], entry.service)
    return offer !== undefined && covers(offer, entry)
  }

  has (entry: WorkerEntry): boolean {
    const rack = rackKey(entry)
    return this.#cellOfRack.get(rack) === 0 && !this.#leaving.has(rack)
  }

  // The layout is restored with the other rows of the term.
  async read (): Promise<boolean> {
    return true
  }

  // No rack moves to the first cell.
  epochOffset (): number {
    return 0
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#clock.sleep(RACKS_POLL_INTERVAL_MS)
      if (this.#isStopped) return
      if (this.#isAssignmentDue) this.#assignAll()
      if (this.#layout.cells.length > 1) this.#moveRacks()
    }
  }

  get #isAssignmentDue (): boolean {
    if (this.#unassignedSince === undefined || this.#lastUnassignedAt === undefined) return false
    const now = this.#clock.now()
    return now - this.#lastUnassignedAt >= SETTLE_MS || now - this.#unassignedSince >= MAX_SETTLE_MS
  }

  #assignAll (): void {
    this.#unassignedSince = undefined
    this.#lastUnassignedAt = undefined
    this.#unassigned.clear()
    this.#assign(this.#layout, this.#all.values())
    this.#host.membersChanged()
  }

  #moveRacks (): void {
    const loads = this.#host.rackLoads()
    if (loads === undefined) return
    let layout = this.#layout
    for (const rack of this.#leaving) {
      if (loads.some(load => load.rack === rack)) continue
      const to = smallestCell(layout, this.#all)
      this.#log.info('Rack moved to another cell', { rack, cell: cellAt(to) })
      layout = moveRack(layout, rack, to, this.#host.epoch)
    }
    const leaving = chooseLeavingRacks(loads, this.#all.size, layout.cells.length, this.#workersPerCell, new Set([...this.#leaving].filter(rack => loads.some(load => load.rack === rack))))
    const hasChanged = layout !== this.#layout || leaving.size !== this.#leaving.size
    this.#leaving = leaving
    if (layout !== this.#layout) this.#assign(layout, this.#all.values())
    if (hasChanged) this.#host.membersChanged()
  }
}

// The cell but the first that has the fewest workers.
const smallestCell = (layout: Layout, all: ReadonlyMap<WorkerId, WorkerEntry>): number => {
  const sizes = new Map<string, number>()
  for (const entry of all.values()) sizes.set(rackKey(entry), (sizes.get(rackKey(entry)) ?? 0) + 1)
  const ofCell = layout.cells.map(({ racks }) => racks.reduce((sum, rack) => sum + (sizes.get(rack) ?? 0), 0))
  ofCell[0] = Infinity
  return ofCell.indexOf(Math.min(...ofCell))
}

/** Membership of any other cell, read from the layout that the owner of the first cell stores. */
export class StoredMembership extends CellMembership {
  readonly #store: RowStore
  readonly #clock: Clock
  readonly #log: Log
  readonly #key: string
  readonly #onChange: () => void
  #racks: ReadonlySet<string> = new Set()
  #workers: CellWorkers = NO_WORKERS
  #value: string | undefined
  #isStopped = false

  /** `index` is that of the cell; `onChange` is called when racks were added. */
  constructor (store: RowStore, clock: Clock, log: Log, index: number, onChange: () => void) {
    super()
    this.#store = store
    this.#clock = clock
    this.#log = log
    this.#key = layoutCellKey(index)
    this.#onChange = onChange
  }

  update (): void {}

  has (entry: WorkerEntry): boolean {
    return this.#racks.has(rackKey(entry))
  }

  epochOffset (entry: WorkerEntry): number {
    const rack = rackKey(entry)
    return Object.hasOwn(this.#workers.epochOffsets, rack) ? this.#workers.epochOffsets[rack] ?? 0 : 0
  }

  start (): void {
    void this.#run()
  }

  stop (): void {
    this.#isStopped = true
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#clock.sleep(RACKS_POLL_INTERVAL_MS)
      if (!this.#isStopped) await this.read()
    }
  }

  async read (): Promise<boolean> {
    const page = await this.#store.range({ table: TERMS_TABLE, part: FIRST_CELL, from: this.#key, to: `${this.#key}\u0000` })
    if (page.err) return false
    const value = page.val.rows[0]?.value
    if (this.#isStopped || value === this.#value) return true
    this.#value = value
    const workers = readCellWorkers(value)
    if (workers === undefined) {
      this.#log.error('The racks of the cell cannot be read; the earlier ones stay', { row: this.#key })
      return false
    }
    this.#workers = workers
    this.#racks = new Set(this.#workers.racks)
    this.#log.info('Racks of the cell', { row: this.#key, racks: this.#racks.size })
    this.#onChange()
    return true
  }
}
