/**
 * Ownership of cells by this member: claims, recoveries and handovers.
 */
import { brand, Ticker, type CellId, type DataCentre, type Instant, type MemberId } from '@auburnpin/common'
import { cellKey, claimCell, releaseCell, type CellDirectory, type ClaimedCell, type Membership, type PeerNotice } from '@auburnpin/cluster'
import { assignCells, type CellPlace } from './assignCells.ts'
import { CellRunner, type CellPorts } from './CellRunner.ts'
import { JOIN_DELAY_MS, MAX_REOPEN_DELAY_MS, MIN_REOPEN_DELAY_MS, OWNERSHIP_CHECK_INTERVAL_MS, REBALANCE_DELAY_MS } from './constants.ts'

/** A cell and its data centre. */
export type CellLocation = Readonly<{ cell: CellId, dataCentre: DataCentre }>

/** Dependencies of cell ownership. */
export type OwnershipPorts = CellPorts & Readonly<{
  membership: Membership
  directory: CellDirectory
  /** Sends a notice to all members. */
  broadcast: (notice: PeerNotice) => void
}>

type Retry = Readonly<{ at: Instant, delayMs: number }>

/** Follows the assignment: claims assigned cells that no live member owns, and hands over cells assigned to others. */
export class CellOwnership {
  readonly #cells: readonly CellLocation[]
  readonly #allCells: readonly CellId[]
  readonly #ports: OwnershipPorts
  readonly #onOpen: (runner: CellRunner) => void
  readonly #runners = new Map<CellId, CellRunner>()
  readonly #claiming = new Map<CellId, Promise<void>>()
  /** Cells whose rows name this member although it does not run them. */
  readonly #unreleased = new Map<CellId, ClaimedCell>()
  readonly #retries = new Map<CellId, Retry>()
  readonly #ticker: Ticker
  #lastAssignment = ''
  #assignedAt: Instant | undefined
  #joinedAt: Instant | undefined
  #isStopping = false

  constructor (cells: readonly CellLocation[], ports: OwnershipPorts, onOpen: (runner: CellRunner) => void) {
    this.#cells = cells
    this.#allCells = cells.map(({ cell }) => cell)
    this.#ports = ports
    this.#onOpen = onOpen
    this.#ticker = new Ticker(ports.clock, OWNERSHIP_CHECK_INTERVAL_MS, () => this.reconcile(), error => ports.log.error(String(error)))
  }

  get runners (): ReadonlyMap<CellId, CellRunner> {
    return this.#runners
  }

  start (): void {
    this.#ticker.start()
  }

  /** Hands over all cells concurrently; completes even if the store is unavailable. */
  async stop (): Promise<void> {
    this.#isStopping = true
    await this.#ticker.stop()
    await Promise.all(this.#claiming.values())
    const cells = [...this.#runners.keys()]
    await Promise.all(cells.map(cell => this.#close(cell)))
    await this.#releaseClosed()
  }

  /** Refreshes members and cells and reconciles without waiting for the next interval, after another member released cells. */
  async reconcileNow (): Promise<void> {
    const { membership, directory } = this.#ports
    await Promise.all([membership.poll(), directory.poll()])
    await this.reconcile()
  }

  /** Compares the cells that this member owns with the assignment, and claims and releases accordingly. */
  async reconcile (): Promise<void> {
    const { membership, clock } = this.#ports
    this.#dropLostCells()
    if (this.#isStopping || !membership.isLeaseHeld) return
    // Members that start together need a moment to discover each other; without the delay the first would claim all cells.
    this.#joinedAt ??= clock.now()
    if (clock.now() - this.#joinedAt < JOIN_DELAY_MS) return
    const assignment = assignCells(this.#cells.map(location => this.#withOwner(location)), membership.live)
    const self: MemberId = membership.identity.member
    for (const { cell } of this.#cells) {
      if (assignment.get(cell) === self) this.#claimIfFree(cell)
      else this.#scheduleStrayRelease(cell)
    }
    if (this.#unreleased.size > 0) await this.#releaseClosed()
    const misplaced = [...this.#runners.keys()].find(cell => assignment.has(cell) && assignment.get(cell) !== self)
    if (this.#isAssignmentStable([...assignment.entries()].join(), clock.now()) && misplaced !== undefined) {
      await this.#close(misplaced)
      await this.#releaseClosed()
    }
  }

  // A cell with nothing to record would not be fenced at its journal when another member has claimed it.
  #dropLostCells (): void {
    for (const [cell, runner] of this.#runners) {
      const row = this.#ports.directory.cells.get(cell)?.row
      if (row !== undefined && row.epoch > runner.claimed.epoch) this.#drop(cell)
    }
  }

  // If the response to a claim was lost, this process owns a cell that it does not run.
  #scheduleStrayRelease (cell: CellId): void {
    const { directory, membership } = this.#ports
    const observed = directory.cells.get(cell)
    if (observed === undefined || observed.row.incarnation !== membership.identity.incarnation) return
    if (this.#runners.has(cell) || this.#claiming.has(cell)) return
    this.#unreleased.set(cell, { cell, epoch: observed.row.epoch, check: { kind: 'version', key: cellKey(cell), version: observed.version } })
  }

  // A series of joins and departures changes the assignment often; cells move only for the last one.
  #isAssignmentStable (assignment: string, now: Instant): boolean {
    if (assignment !== this.#lastAssignment || this.#assignedAt === undefined) {
      this.#lastAssignment = assignment
      this.#assignedAt = now
    }
    return now - this.#assignedAt >= REBALANCE_DELAY_MS
  }

  #withOwner (location: CellLocation): CellPlace {
    return { ...location, owner: this.#ownerOf(location.cell) }
  }

  /** Returns the live member that owns a cell, as observed in the runners here and in the last poll. */
  #ownerOf (cell: CellId): MemberId | null {
    const { membership, directory } = this.#ports
    if (this.#runners.has(cell) || this.#claiming.has(cell)) return membership.identity.member
    const row = directory.cells.get(cell)?.row
    if (row === undefined || row.owner === null || row.incarnation === null) return null
    return membership.isLeaseExpired(row.owner, row.incarnation) ? null : row.owner
  }

  /** Claims and opens a cell, unless another live process owns it. */
  #claimIfFree (cell: CellId): void {
    const { membership, clock } = this.#ports
    const owner = this.#ownerOf(cell)
    const isFree = owner === null || owner === membership.identity.member
    const isRetryDelayed = clock.now() < (this.#retries.get(cell)?.at ?? 0)
    if (!isFree || isRetryDelayed || this.#runners.has(cell) || this.#claiming.has(cell)) return
    this.#claiming.set(cell, this.#claim(cell).finally(() => this.#claiming.delete(cell)))
  }

  async #claim (cell: CellId): Promise<void> {
    const { table, random, membership, directory, log } = this.#ports
    const claimed = await claimCell(table, random, membership.identity, cell, directory.cells.get(cell))
    if (claimed.err) {
      log.warn('Cell could not be claimed', { cell, reason: claimed.val.message })
      return
    }
    // Another member claimed the cell first, or the row was outdated; the next check reads the current row.
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
      this.#ports.log.error('Cell could not be recovered; retrying later', { cell, reason: opened.val.message })
      return
    }
    this.#retries.delete(cell)
    this.#runners.set(cell, opened.val)
    this.#onOpen(opened.val)
  }

  #retryLater (cell: CellId): void {
    const delayMs = Math.min(MAX_REOPEN_DELAY_MS, (this.#retries.get(cell)?.delayMs ?? MIN_REOPEN_DELAY_MS / 2) * 2)
    this.#retries.set(cell, { delayMs, at: brand<Instant>(this.#ports.clock.now() + delayMs) })
  }

  // If the row still names this member, the next check claims the cell again with a higher epoch.
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

  // No other member claims a cell whose row names a live member, so failed releases are retried.
  async #releaseClosed (): Promise<void> {
    const { table, random, directory, broadcast } = this.#ports
    const released: CellId[] = []
    await Promise.all([...this.#unreleased].map(async ([cell, claimed]) => {
      const result = await releaseCell(table, random, claimed)
      if (result.err) return
      this.#unreleased.delete(cell)
      released.push(cell)
    }))
    if (released.length === 0) return
    await directory.poll()
    broadcast({ kind: 'cells-released', cells: released })
  }
}
