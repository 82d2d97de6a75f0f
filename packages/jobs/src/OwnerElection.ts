/**
 * Elects the owner of a cell: each process polls the cell's term and claims it when it is released or expired.
 */
import { brand, type Clock, type Epoch, type Instant, type Log, type Random, type RowVersion } from '@auburnpin/common'
import { CELL, CORES_PER_WORKER, HANDOVER_CLAIM_PAUSE_MS, MIN_HANDOVER_INTERVAL_MS, SHORTFALL_CLAIM_DELAY_MS, TERM_EXPIRY_MS, TERM_POLL_INTERVAL_MS } from './constants.ts'
import { CellOwner, type OwnerPorts, type ClaimedTerm } from './CellOwner.ts'
import { ABSENT_ROW_VERSION, encodeRow, readTerm, TERM_KEY, TERMS_TABLE, type Term } from './rows.ts'

/** Identity of this process, and what decides how soon it claims a free term. */
export type CandidateIdentity = Readonly<{
  /** Name of the process; stays the same after a restart. */
  name: string
  /** Identifies this incarnation of the process. */
  life: string
  /** Delay before a claim, in milliseconds; longer on VMs with little processor time. */
  claimDelayMs: number
  /** Share of a core that the VM has. */
  processorShare: number
}>

type ObservedTerm = Readonly<{ term: Term, version: RowVersion }>

/** Longest random addition to the delay before a claim, in milliseconds, so that equal processes don't claim at the same time. */
const MAX_CLAIM_JITTER_MS = 80

/** After the store was unavailable, the owner has this many milliseconds to renew its term before others treat it as expired. */
const STORE_RECOVERY_GRACE_MS = 900

/** Participation of one process in the election. The polled term also contains the lengths of the queues. */
export class OwnerElection {
  readonly #ports: OwnerPorts
  readonly #identity: CandidateIdentity
  readonly #random: Random
  readonly #clock: Clock
  readonly #log: Log
  #observed: ObservedTerm | undefined
  #renewalObservedAt: Instant | undefined
  #owner: CellOwner | undefined
  #isStopped = false
  #hasReadFailed = false
  #handedOverAt = brand<Instant>(-Infinity)

  constructor (ports: OwnerPorts, identity: CandidateIdentity, random: Random) {
    this.#ports = ports
    this.#identity = identity
    this.#random = random
    this.#clock = ports.clock
    this.#log = ports.log
  }

  /** Number of jobs of each queue that have no started task, as last published by the owner. */
  get pending (): Term['pending'] {
    return this.#observed?.term.pending ?? {}
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
    await this.#owner?.close(true)
    this.#clearOwner()
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const isClaimable = await this.#isClaimable()
      if (isClaimable && !this.#isStopped) await this.#claim()
      await this.#clock.sleep(TERM_POLL_INTERVAL_MS)
    }
  }

  // Reads the term and returns whether this process may claim it.
  async #isClaimable (): Promise<boolean> {
    const page = await this.#ports.store.range({ table: TERMS_TABLE, part: CELL, from: TERM_KEY, to: `${TERM_KEY}~` })
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
    this.#observed = row === undefined ? undefined : { term: readTerm(row.value), version }
    if (this.#owner !== undefined || now - this.#handedOverAt < HANDOVER_CLAIM_PAUSE_MS) return false
    if (this.#observed === undefined) return true
    const { holder, life } = this.#observed.term
    // An earlier incarnation of this process has certainly ended. A VM with too little processor time still waits for the term to expire, as other processes may be better owners.
    if (holder === '' || (holder === this.#identity.name && life !== this.#identity.life && this.#processorShortfall === 0)) return true
    return now - (this.#renewalObservedAt ?? now) >= TERM_EXPIRY_MS
  }

  // Fraction of the processor time needed by the cell that this VM lacks, 0 to 1.
  get #processorShortfall (): number {
    const needed = (this.#observed?.term.workers ?? 0) * CORES_PER_WORKER
    return needed === 0 ? 0 : Math.max(0, 1 - this.#identity.processorShare / needed)
  }

  async #claim (): Promise<void> {
    const previous = this.#observed
    await this.#clock.sleep(this.#identity.claimDelayMs + MAX_CLAIM_JITTER_MS * this.#random.fraction() + SHORTFALL_CLAIM_DELAY_MS * this.#processorShortfall)
    if (this.#isStopped) return
    const term: Term = {
      holder: this.#identity.name,
      life: this.#identity.life,
      epoch: brand<Epoch>((previous?.term.epoch ?? 0) + 1),
      commit: 0,
      pending: previous?.term.pending ?? {},
      workers: previous?.term.workers ?? 0
    }
    const claimedAt = this.#clock.now()
    const claimedAtWall = this.#clock.wallTime()
    const outcome = await this.#ports.store.transact({
      part: CELL,
      checks: [{ table: TERMS_TABLE, key: TERM_KEY, version: previous?.version ?? ABSENT_ROW_VERSION }],
      puts: [{ table: TERMS_TABLE, key: TERM_KEY, value: encodeRow(term) }],
      deletes: []
    })
    if (outcome.err) {
      this.#log.warn('Claiming the term failed', { epoch: term.epoch, error: outcome.val.message })
      return
    }
    if (outcome.val.kind === 'conflict' || this.#isStopped) return
    this.#log.info('Term claimed', { epoch: term.epoch, before: previous?.term.holder ?? '' })
    this.#startOwner({ term, version: outcome.val.version, claimedAt, claimedAtWall })
  }

  #startOwner (claimed: ClaimedTerm): void {
    const owner = new CellOwner(this.#ports, claimed, () => {
      if (this.#owner === owner) this.#clearOwner()
    }, () => { void this.#releaseOverloadedCell() })
    this.#owner = owner
    this.#ports.metrics.gauge('term.epoch', claimed.term.epoch)
    void owner.open()
  }

  // VMs with more processor time claim sooner, so the cell goes to the VM that can keep up best.
  async #releaseOverloadedCell (): Promise<void> {
    const owner = this.#owner
    const now = this.#clock.now()
    if (owner === undefined || this.#isStopped || now - this.#handedOverAt < MIN_HANDOVER_INTERVAL_MS) return
    this.#handedOverAt = now
    this.#log.warn('Owner is overloaded and releases its cell', { epoch: this.#observed?.term.epoch })
    await owner.close(true)
    this.#clearOwner()
  }

  #clearOwner (): void {
    this.#owner = undefined
    this.#ports.metrics.gauge('term.epoch', 0)
  }
}
