/**
 * Elects the owner of a cell: each process polls the cell's term and claims it when it is released or expired.
 */
import { brand, type CellId, type Clock, type Epoch, type Instant, type Log, type Random, type RowVersion } from '@auburnpin/common'
import type { CellBacklog, CellWaits } from '@auburnpin/core'
import { CORES_PER_WORKER, FIRST_CELL, HANDOVER_CLAIM_PAUSE_MS, MIN_HANDOVER_INTERVAL_MS, OWNED_CELL_CLAIM_DELAY_MS, SHORTFALL_CLAIM_DELAY_MS, SUSPENSION_THRESHOLD_MS, TERM_EXPIRY_MS, TERM_LENGTH_MS, TERM_POLL_INTERVAL_MS } from './constants.ts'
import { CellOwner } from './CellOwner.ts'
import type { ClaimedTerm } from './ClaimedTerm.ts'
import type { PublishedTasks } from './KeptTasksLimit.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { ABSENT_ROW_VERSION, encodeRow, readTerm, TERM_KEY, TERMS_TABLE, type PublishedCells, type Term } from './rows.ts'
import { hasUnreadableForecast, soundTerm } from './soundTerm.ts'

/** Identity of this process, and what decides how soon it claims a free term. */
export type CandidateIdentity = Readonly<{
  /** Name of the process; stays the same after a restart. */
  name: string
  /** Identifies this incarnation of the process. */
  life: string
  /** Delay before a claim, in milliseconds; longer on VMs with little processor time. */
  claimDelayMs: number
  /** Cores that the VM has; a fraction on a small one. */
  processorShare: number
}>

type ObservedTerm = Readonly<{ term: Term, version: RowVersion, observedAt: Instant }>

/** Longest random addition to the delay before a claim, in milliseconds, so that equal processes don't claim at the same time. */
const MAX_CLAIM_JITTER_MS = 80

/** After the store was unavailable, the owner has this many milliseconds to renew its term before others treat it as expired. */
const STORE_RECOVERY_GRACE_MS = 900

/** Stands for the holder of a term that cannot be read; no process has this name. */
const UNKNOWN_HOLDER = '?'

// The earlier owner sent its last renewal before this process saw it, and holds its term for the term's length from then;
// a shorter suspension than the threshold goes unnoticed.
const earlierTermOverAt = (claimedAt: Instant, renewalObservedAt: Instant | undefined): Instant =>
  brand<Instant>(Math.min(claimedAt, (renewalObservedAt ?? claimedAt) + TERM_LENGTH_MS + SUSPENSION_THRESHOLD_MS))

/** Participation of one process in the election of the owner of one cell. The polled term also contains the lengths of the queues. */
export class OwnerElection {
  readonly #ports: OwnerPorts
  readonly #identity: CandidateIdentity
  readonly #random: Random
  readonly #cell: CellId
  readonly #countOwnedCells: () => number
  readonly #clock: Clock
  readonly #log: Log
  #observed: ObservedTerm | undefined
  #renewalObservedAt: Instant | undefined
  #owner: CellOwner | undefined
  #isStopped = false
  #isRetired = false
  #isClaiming = false
  #hasReadFailed = false
  #hasLoggedWaits = false
  #handedOverAt = brand<Instant>(-Infinity)

  /** `countOwnedCells` returns how many cells this process owns; the more, the later it claims another one. */
  constructor (ports: OwnerPorts, identity: CandidateIdentity, random: Random, cell: CellId, countOwnedCells: () => number) {
    this.#ports = ports
    this.#cell = cell
    this.#countOwnedCells = countOwnedCells
    this.#identity = identity
    this.#random = random
    this.#clock = ports.clock
    this.#log = ports.log
  }

  /** Number of jobs of each queue that have no started task, as last published by the owner. */
  get pending (): Term['pending'] {
    return this.#observed?.term.pending ?? {}
  }

  /** State of all cells as the owner of the first one last published it; `undefined` in a deployment with one cell. */
  get publishedCells (): PublishedCells | undefined {
    return this.#observed?.term.cells
  }

  /** What the owner last published of the waits of new jobs in its cell and, from the first, in all; `undefined` without an owner. */
  get publishedWaits (): Readonly<{ own: CellWaits | undefined, ofCells: PublishedCells['waits'], ageMs: number }> | undefined {
    if (this.#observed === undefined || this.#observed.term.holder === '') return undefined
    const { term: { waits, cells }, observedAt } = this.#observed
    return { own: waits, ofCells: cells?.waits, ageMs: this.#clock.now() - observedAt }
  }

  /** The same for the backlog of accepted work. */
  get publishedBacklogs (): Readonly<{ own: CellBacklog | undefined, ofCells: PublishedCells['backlogs'], ageMs: number }> | undefined {
    if (this.#observed === undefined || this.#observed.term.holder === '') return undefined
    const { term: { backlog, cells }, observedAt } = this.#observed
    return { own: backlog, ofCells: cells?.backlogs, ageMs: this.#clock.now() - observedAt }
  }

  /** Tasks that the owner keeps in memory, as last published; `undefined` without an owner that says. */
  get publishedTasks (): PublishedTasks | undefined {
    if (this.#observed?.term.keptTasks === undefined || this.#observed.term.holder === '') return undefined
    return { tasks: this.#observed.term.keptTasks, ageMs: this.#clock.now() - this.#observed.observedAt }
  }

  /** Whether this process owns the cell or is about to. */
  get isBusy (): boolean {
    return this.#isClaiming || this.#owner !== undefined
  }

  get isOwner (): boolean {
    return this.#owner !== undefined
  }

  start (): void {
    void this.#run()
  }

  /** Stops the election, and releases the cell if this process owns it. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.retire()
  }

  /** Claims the cell no more, and releases it if this process owns it; what its owner publishes is still read. */
  async retire (): Promise<void> {
    this.#isRetired = true
    await this.#owner?.close(true)
    this.#clearOwner()
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      // The owner of the first cell also reads what it publishes itself.
      const isClaimable = (this.#owner === undefined || this.#cell === FIRST_CELL) && await this.#isClaimable()
      if (isClaimable && !this.#isRetired) {
        this.#isClaiming = true
        await this.#claim()
        this.#isClaiming = false
      }
      await this.#clock.sleep(TERM_POLL_INTERVAL_MS)
    }
  }

  // Reads the term and returns whether this process may claim it.
  async #isClaimable (): Promise<boolean> {
    const page = await this.#ports.store.range({ table: TERMS_TABLE, part: this.#cell, from: TERM_KEY, to: `${TERM_KEY}~` })
    const now = this.#clock.now()
    if (page.err) {
      this.#hasReadFailed = true
      return false
    }
    const row = page.val.rows.find(({ key }) => key === TERM_KEY)
    const version = row?.version ?? ABSENT_ROW_VERSION
    if (this.#observed === undefined || this.#observed.version !== version) this.#renewalObservedAt = now
    // The owner may have lost the store as well, and may be about to renew.
    else if (this.#hasReadFailed) this.#renewalObservedAt = brand<Instant>(Math.max(this.#renewalObservedAt ?? now, now - TERM_EXPIRY_MS + STORE_RECOVERY_GRACE_MS))
    this.#hasReadFailed = false
    const observedAt = this.#observed?.version === version ? this.#observed.observedAt : now
    this.#observed = row === undefined ? undefined : { term: this.#readTerm(row.value, version), version, observedAt }
    if (this.#owner !== undefined || now - this.#handedOverAt < HANDOVER_CLAIM_PAUSE_MS) return false
    if (this.#observed === undefined) return true
    const { holder, life } = this.#observed.term
    // A claim of this process whose response was lost; nobody acts under it.
    if (holder === this.#identity.name && life === this.#identity.life) return true
    // An earlier incarnation of this process has certainly ended. A VM with too little processor time still waits for the term to expire, as other processes may be better owners.
    if (holder === '' || (holder === this.#identity.name && life !== this.#identity.life && this.#processorShortfall === 0)) return true
    return now - (this.#renewalObservedAt ?? now) >= TERM_EXPIRY_MS
  }

  // Each term has written its row at least once, so that the version of the row is above all epochs so far.
  #readTerm (value: string, version: RowVersion): Term {
    const read = readTerm(value)
    const term = soundTerm(read, version)
    if (read !== undefined && !this.#hasLoggedWaits && hasUnreadableForecast(read)) {
      this.#hasLoggedWaits = true
      this.#log.warn('The forecast of waits cannot be read; no job is refused by it', { cell: this.#cell, version })
    }
    if (term !== undefined) return term
    this.#log.error('The term cannot be read and is treated as one without renewals', { cell: this.#cell, version })
    return { holder: UNKNOWN_HOLDER, life: '', epoch: brand<Epoch>(version), commit: 0, pending: {}, workers: 0 }
  }

  // Fraction of the processor time needed by the cell that this VM lacks, 0 to 1.
  get #processorShortfall (): number {
    // A cell that has had no owner yet was made for a full number of workers, unless it is the only one.
    const workers = this.#observed?.term.workers ?? (this.#cell === FIRST_CELL ? 0 : this.#ports.workersPerCell)
    const needed = workers * CORES_PER_WORKER
    return needed === 0 ? 0 : Math.max(0, 1 - this.#identity.processorShare / needed)
  }

  async #claim (): Promise<void> {
    const previous = this.#observed
    const renewalObservedAt = this.#renewalObservedAt
    const delayMs = this.#identity.claimDelayMs + MAX_CLAIM_JITTER_MS * this.#random.fraction() + SHORTFALL_CLAIM_DELAY_MS * this.#processorShortfall + OWNED_CELL_CLAIM_DELAY_MS * this.#countOwnedCells()
    await this.#clock.sleep(delayMs)
    // After a long delay another process has probably claimed the cell.
    if (this.#isRetired || (delayMs > TERM_POLL_INTERVAL_MS && !await this.#isClaimable())) return
    const epoch = brand<Epoch>((previous?.term.epoch ?? 0) + 1)
    const term: Term = {
      holder: this.#identity.name,
      life: this.#identity.life,
      epoch,
      commit: 0,
      pending: previous?.term.pending ?? {},
      workers: previous?.term.workers ?? 0,
      keptTasks: previous?.term.keptTasks,
      loadPercent: previous?.term.loadPercent,
      evacuatedWorkers: previous?.term.evacuatedWorkers,
      cells: previous?.term.cells === undefined ? undefined : { ...previous.term.cells, waits: undefined },
      backlog: previous?.term.backlog,
      areLeaseEndsRecorded: previous?.term.areLeaseEndsRecorded,
      knownRunsSince: previous?.term.knownRunsSince ?? epoch
    }
    const claimedAt = this.#clock.now()
    const claimedAtWall = this.#clock.wallTime()
    const outcome = await this.#ports.store.transact({
      part: this.#cell,
      checks: [{ table: TERMS_TABLE, key: TERM_KEY, version: previous?.version ?? ABSENT_ROW_VERSION }],
      puts: [{ table: TERMS_TABLE, key: TERM_KEY, value: encodeRow(term) }],
      deletes: []
    })
    if (outcome.err) {
      this.#log.warn('Claiming the term failed', { cell: this.#cell, epoch: term.epoch, error: outcome.val.message })
      return
    }
    if (outcome.val.kind === 'conflict') return
    this.#log.info('Term claimed', { cell: this.#cell, epoch: term.epoch, before: previous?.term.holder ?? '' })
    this.#startOwner({ cell: this.#cell, term, version: outcome.val.version, claimedAt, claimedAtWall, earlierTermOverAt: earlierTermOverAt(claimedAt, renewalObservedAt) })
    // Stopped meanwhile: the others need not wait for the term to expire.
    if (this.#isRetired) await this.retire()
  }

  #startOwner (claimed: ClaimedTerm): void {
    const owner = new CellOwner(this.#ports, claimed, () => {
      if (this.#owner === owner) this.#clearOwner()
    }, () => { void this.#releaseOverloadedCell() })
    this.#owner = owner
    this.#ports.metrics.gauge('term.epoch', claimed.term.epoch, { cell: this.#cell })
    void owner.open()
  }

  // VMs with more processor time claim sooner, so the cell goes to the VM that can keep up best.
  async #releaseOverloadedCell (): Promise<void> {
    const owner = this.#owner
    const now = this.#clock.now()
    if (owner === undefined || this.#isRetired || now - this.#handedOverAt < MIN_HANDOVER_INTERVAL_MS) return
    this.#handedOverAt = now
    this.#log.warn('Owner is overloaded and releases its cell', { cell: this.#cell, epoch: this.#observed?.term.epoch })
    await owner.close(true)
    this.#clearOwner()
  }

  #clearOwner (): void {
    this.#owner = undefined
    this.#ports.metrics.gauge('term.epoch', 0, { cell: this.#cell })
  }
}
