/**
 * Which cells this member owns: claims, recoveries, hand-overs.
 */
import { brand, Ticker, type CellId, type DataCentre, type Instant, type MemberId } from '@auburnpin/common'
import { cellKey, claimCell, releaseCell, type CellDirectory, type ClaimedCell, type Membership, type PeerNotice } from '@auburnpin/cluster'
import { assignCells, type CellPlace } from './assignCells.ts'
import { CellRunner, type CellPorts } from './CellRunner.ts'
import { FIRST_REOPEN_MS, JOIN_SETTLE_MS, LONGEST_REOPEN_MS, OWNERSHIP_MS, REBALANCE_SETTLE_MS } from './constants.ts'

/** A cell and its data centre. */
export type PlacedCell = Readonly<{ cell: CellId, dataCentre: DataCentre }>

/** What ownership needs from outside. */
export type OwnershipPorts = CellPorts & Readonly<{
  membership: Membership
  directory: CellDirectory
  /** Tells all members. */
  announce: (notice: PeerNotice) => void
}>

type Retry = Readonly<{ at: Instant, pauseMs: number }>

/** Follows the assignment: claims what no live member owns, hands over what another should own. */
export class CellOwnership {
  readonly #cells: readonly PlacedCell[]
  readonly #allCells: readonly CellId[]
  readonly #ports: OwnershipPorts
  readonly #onOpen: (runner: CellRunner) => void
  readonly #runners = new Map<CellId, CellRunner>()
  readonly #taking = new Map<CellId, Promise<void>>()
  /** Cells that were closed here while their rows still name this member. */
  readonly #unreleased = new Map<CellId, ClaimedCell>()
  readonly #retries = new Map<CellId, Retry>()
  readonly #ticker: Ticker
  #lastPlan = ''
  #plannedAt: Instant | undefined
  #joinedAt: Instant | undefined
  #isStopping = false

  constructor (cells: readonly PlacedCell[], ports: OwnershipPorts, onOpen: (runner: CellRunner) => void) {
    this.#cells = cells
    this.#allCells = cells.map(({ cell }) => cell)
    this.#ports = ports
    this.#onOpen = onOpen
    this.#ticker = new Ticker(ports.clock, OWNERSHIP_MS, () => this.follow(), error => ports.log.error(String(error)))
  }

  get runners (): ReadonlyMap<CellId, CellRunner> {
    return this.#runners
  }

  start (): void {
    this.#ticker.start()
  }

  /** Hands all cells over, all at the same time; ends also while the store is down. */
  async stop (): Promise<void> {
    this.#isStopping = true
    await this.#ticker.stop()
    await Promise.all(this.#taking.values())
    const cells = [...this.#runners.keys()]
    await Promise.all(cells.map(cell => this.#close(cell)))
    await this.#release()
  }

  /** Looks again at once, because cells were given up elsewhere. */
  async reconsider (): Promise<void> {
    const { membership, directory } = this.#ports
    await Promise.all([membership.poll(), directory.poll()])
    await this.follow()
  }

  /** Brings what this member owns into line with the assignment once. */
  async follow (): Promise<void> {
    const { membership, clock } = this.#ports
    this.#dropLost()
    if (this.#isStopping || !membership.isLeaseHeld) return
    // Members that start together know each other only after a moment; the first would claim all.
    this.#joinedAt ??= clock.now()
    if (clock.now() - this.#joinedAt < JOIN_SETTLE_MS) return
    const plan = assignCells(this.#cells.map(place => this.#locate(place)), membership.live)
    const me: MemberId = membership.identity.member
    for (const { cell } of this.#cells) {
      if (plan.get(cell) === me) this.#take(cell)
      else this.#noteStray(cell)
    }
    if (this.#unreleased.size > 0) await this.#release()
    const misplaced = [...this.#runners.keys()].find(cell => plan.has(cell) && plan.get(cell) !== me)
    if (this.#isSettled([...plan.entries()].join(), clock.now()) && misplaced !== undefined) {
      await this.#close(misplaced)
      await this.#release()
    }
  }

  // A cell that has nothing to record would not find out at its journal that it has another owner.
  #dropLost (): void {
    for (const [cell, runner] of this.#runners) {
      const row = this.#ports.directory.cells.get(cell)?.row
      if (row !== undefined && row.epoch > runner.claimed.epoch) this.#drop(cell)
    }
  }

  // A claim whose answer was lost has made this process the owner of a cell that it does not run.
  #noteStray (cell: CellId): void {
    const { directory, membership } = this.#ports
    const seen = directory.cells.get(cell)
    if (seen === undefined || seen.row.incarnation !== membership.identity.incarnation) return
    if (this.#runners.has(cell) || this.#taking.has(cell)) return
    this.#unreleased.set(cell, { cell, epoch: seen.row.epoch, check: { kind: 'version', key: cellKey(cell), version: seen.version } })
  }

  // A wave of joins and departures changes the assignment often; only the last one is worth a move.
  #isSettled (plan: string, now: Instant): boolean {
    if (plan !== this.#lastPlan || this.#plannedAt === undefined) {
      this.#lastPlan = plan
      this.#plannedAt = now
    }
    return now - this.#plannedAt >= REBALANCE_SETTLE_MS
  }

  #locate (place: PlacedCell): CellPlace {
    return { ...place, owner: this.#ownerOf(place.cell) }
  }

  /** The live member that owns a cell, as far as this process can tell. */
  #ownerOf (cell: CellId): MemberId | null {
    const { membership, directory } = this.#ports
    if (this.#runners.has(cell) || this.#taking.has(cell)) return membership.identity.member
    const row = directory.cells.get(cell)?.row
    if (row === undefined || row.owner === null || row.incarnation === null) return null
    return membership.isLapsed(row.owner, row.incarnation) ? null : row.owner
  }

  /** Claims and opens a cell, unless another live process owns it. */
  #take (cell: CellId): void {
    const { membership, clock } = this.#ports
    const owner = this.#ownerOf(cell)
    const isFree = owner === null || owner === membership.identity.member
    const isPaused = clock.now() < (this.#retries.get(cell)?.at ?? 0)
    if (!isFree || isPaused || this.#runners.has(cell) || this.#taking.has(cell)) return
    this.#taking.set(cell, this.#claim(cell).finally(() => this.#taking.delete(cell)))
  }

  async #claim (cell: CellId): Promise<void> {
    const { table, random, membership, directory, log } = this.#ports
    const claimed = await claimCell(table, random, membership.identity, cell, directory.cells.get(cell))
    if (claimed.err) {
      log.warn('A cell could not be claimed', { cell, reason: claimed.val.message })
      return
    }
    // Another member was first, or this one looked at an old row: the next look tells.
    if (claimed.val === null) return
    this.#unreleased.delete(cell)
    await this.#open(claimed.val)
    await directory.poll()
  }

  async #open (claimed: ClaimedCell): Promise<void> {
    const { cell } = claimed
    const opened = await CellRunner.open(claimed, this.#allCells, this.#ports, () => this.#drop(cell))
    if (opened.err) {
      this.#retryLater(cell)
      this.#ports.log.error('A cell could not be recovered; it is tried again', { cell, reason: opened.val.message })
      return
    }
    this.#retries.delete(cell)
    this.#runners.set(cell, opened.val)
    this.#onOpen(opened.val)
  }

  #retryLater (cell: CellId): void {
    const pauseMs = Math.min(LONGEST_REOPEN_MS, (this.#retries.get(cell)?.pauseMs ?? FIRST_REOPEN_MS / 2) * 2)
    this.#retries.set(cell, { pauseMs, at: brand<Instant>(this.#ports.clock.now() + pauseMs) })
  }

  // The row may still name this member; then the next look claims the cell anew, at a higher epoch.
  #drop (cell: CellId): void {
    const runner = this.#runners.get(cell)
    this.#runners.delete(cell)
    void runner?.close(true)
  }

  async #close (cell: CellId): Promise<void> {
    const runner = this.#runners.get(cell)
    if (runner === undefined) return
    this.#runners.delete(cell)
    this.#unreleased.set(cell, runner.claimed)
    await runner.close(false)
  }

  // While a row names a live member nobody else claims the cell, so a release that failed is tried again.
  async #release (): Promise<void> {
    const { table, random, directory, announce } = this.#ports
    const released: CellId[] = []
    await Promise.all([...this.#unreleased].map(async ([cell, claimed]) => {
      const result = await releaseCell(table, random, claimed)
      if (result.err) return
      this.#unreleased.delete(cell)
      released.push(cell)
    }))
    if (released.length === 0) return
    await directory.poll()
    announce({ kind: 'cells-released', cells: released })
  }
}
