/**
 * One process's part in who owns the cell: watches the term, and takes it when it is over.
 */
import { brand, type Clock, type Epoch, type Instant, type Log, type Random, type RowVersion } from '@auburnpin/common'
import { CELL, CORE_PER_WORKER, HAND_OVER_GAP_MS, HAND_OVER_HOLD_MS, TERM_OVER_MS, TERM_WATCH_MS, TOO_SMALL_DELAY_MS } from './constants.ts'
import { JobOwner, type OwnerPorts, type WonTerm } from './JobOwner.ts'
import { encodeRow, NO_ROW, readTerm, TERM_KEY, TERMS_TABLE, type Term } from './rows.ts'

/** Who this process is, and how soon it should take a term that is free. */
export type SeatIdentity = Readonly<{
  /** Name of the process; the same after a restart. */
  name: string
  /** Names this life of the process. */
  life: string
  /** Milliseconds before it takes a free term; longer on VMs with little processor. */
  claimDelayMs: number
  /** Share of a core that its VM has. */
  processorShare: number
}>

type SeenTerm = Readonly<{ term: Term, version: RowVersion }>

/** Random part of the delay before a claim, in milliseconds, so that equal processes don't claim together. */
const CLAIM_JITTER_MS = 80

/** After the store was away, the owner gets so many milliseconds to renew before its term counts as over. */
const RETURN_GRACE_MS = 900

/** Follows the term by polls; a poll also tells the queues' lengths. */
export class CellSeat {
  readonly #ports: OwnerPorts
  readonly #identity: SeatIdentity
  readonly #random: Random
  readonly #clock: Clock
  readonly #log: Log
  #seen: SeenTerm | undefined
  #changedAt: Instant | undefined
  #owner: JobOwner | undefined
  #isStopped = false
  #hasFailed = false
  #handedOverAt = brand<Instant>(-Infinity)

  constructor (ports: OwnerPorts, identity: SeatIdentity, random: Random) {
    this.#ports = ports
    this.#identity = identity
    this.#random = random
    this.#clock = ports.clock
    this.#log = ports.log
  }

  /** Jobs of each queue of which no task has started, as the owner last told. */
  get pending (): Term['pending'] {
    return this.#seen?.term.pending ?? {}
  }

  get isOwner (): boolean {
    return this.#owner !== undefined
  }

  start (): void {
    void this.#run()
  }

  /** Gives up the cell if this process owns it. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.#owner?.close(true)
    this.#leave()
  }

  async #run (): Promise<void> {
    while (!this.#isStopped) {
      const isFree = await this.#look()
      if (isFree && !this.#isStopped) await this.#claim()
      await this.#clock.sleep(TERM_WATCH_MS)
    }
  }

  // Whether the term is there to be taken.
  async #look (): Promise<boolean> {
    const page = await this.#ports.store.range({ table: TERMS_TABLE, part: CELL, from: TERM_KEY, to: `${TERM_KEY}~` })
    const now = this.#clock.now()
    if (page.err) {
      this.#hasFailed = true
      return false
    }
    const row = page.val.rows.find(({ key }) => key === TERM_KEY)
    const version = row?.version ?? NO_ROW
    if (this.#seen === undefined || this.#seen.version !== version) this.#changedAt = now
    // An owner that lost the store as well may be about to renew.
    else if (this.#hasFailed) this.#changedAt = brand<Instant>(Math.max(this.#changedAt ?? now, now - TERM_OVER_MS + RETURN_GRACE_MS))
    this.#hasFailed = false
    this.#seen = row === undefined ? undefined : { term: readTerm(row.value), version }
    if (this.#owner !== undefined || now - this.#handedOverAt < HAND_OVER_HOLD_MS) return false
    if (this.#seen === undefined) return true
    const { holder, life } = this.#seen.term
    // A former life of this process is surely over, but the others that wait for its end may be better owners.
    if (holder === '' || (holder === this.#identity.name && life !== this.#identity.life && this.#lackOfProcessor === 0)) return true
    return now - (this.#changedAt ?? now) >= TERM_OVER_MS
  }

  // The share of the processor time that the cell needs and this VM doesn't have.
  get #lackOfProcessor (): number {
    const needed = (this.#seen?.term.workers ?? 0) * CORE_PER_WORKER
    return needed === 0 ? 0 : Math.max(0, 1 - this.#identity.processorShare / needed)
  }

  async #claim (): Promise<void> {
    const before = this.#seen
    await this.#clock.sleep(this.#identity.claimDelayMs + CLAIM_JITTER_MS * this.#random.fraction() + TOO_SMALL_DELAY_MS * this.#lackOfProcessor)
    if (this.#isStopped) return
    const term: Term = {
      holder: this.#identity.name,
      life: this.#identity.life,
      epoch: brand<Epoch>((before?.term.epoch ?? 0) + 1),
      commit: 0,
      pending: before?.term.pending ?? {},
      workers: before?.term.workers ?? 0
    }
    const claimedAt = this.#clock.now()
    const claimedAtWall = this.#clock.wallTime()
    const outcome = await this.#ports.store.transact({
      part: CELL,
      checks: [{ table: TERMS_TABLE, key: TERM_KEY, version: before?.version ?? NO_ROW }],
      puts: [{ table: TERMS_TABLE, key: TERM_KEY, value: encodeRow(term) }],
      deletes: []
    })
    if (outcome.err) {
      this.#log.warn('Claim of the term has no outcome', { epoch: term.epoch, error: outcome.val.message })
      return
    }
    if (outcome.val.kind === 'conflict' || this.#isStopped) return
    this.#log.info('Term claimed', { epoch: term.epoch, before: before?.term.holder ?? '' })
    this.#take({ term, version: outcome.val.version, claimedAt, claimedAtWall })
  }

  #take (won: WonTerm): void {
    const owner = new JobOwner(this.#ports, won, () => {
      if (this.#owner === owner) this.#leave()
    }, () => { void this.#handOver() })
    this.#owner = owner
    this.#ports.metrics.gauge('term.epoch', won.term.epoch)
    void owner.open()
  }

  // A VM with more processor claims sooner, so the cell goes to the one that can best keep up.
  async #handOver (): Promise<void> {
    const owner = this.#owner
    const now = this.#clock.now()
    if (owner === undefined || this.#isStopped || now - this.#handedOverAt < HAND_OVER_GAP_MS) return
    this.#handedOverAt = now
    this.#log.warn('This process can not keep up with its cell and gives it up', { epoch: this.#seen?.term.epoch })
    await owner.close(true)
    this.#leave()
  }

  #leave (): void {
    this.#owner = undefined
    this.#ports.metrics.gauge('term.epoch', 0)
  }
}
