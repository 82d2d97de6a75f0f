/**
 * This member's own lease, and which other members hold theirs.
 */
import {
  AuburnpinError, brand, Err, Ok, rendezvousRank, Ticker, type Clock, type ConfigVersion, type Instant, type Log, type MemberId, type Random, type Result
} from '@auburnpin/common'
import { newTransactionId, type Row, type RowCheck, type TableStore } from '@auburnpin/ports'
import { DIRECTORY_POLL_MS, MEMBER_LEASE_MS, MEMBER_RENEW_MS, MEMBER_TICK_MS } from './constants.ts'
import { MemberSightings } from './MemberSightings.ts'
import { memberKey, MEMBERS_PREFIX } from './storeKeys.ts'
import type { MemberRow } from './types.ts'

/** What a member tells of itself. */
export type MemberIdentity = Pick<MemberRow, 'member' | 'dataCentre' | 'roles' | 'peerAddress' | 'incarnation'>

/** Renews this member's row, and judges others by whether theirs change. */
export class Membership {
  readonly #identity: MemberIdentity
  readonly #table: TableStore
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #renewal: Ticker
  readonly #poll: Ticker
  readonly #sightings: MemberSightings
  readonly #listeners: Array<() => void> = []
  readonly #replacedListeners: Array<() => void> = []
  #check: RowCheck
  #renewals = 0
  #sentAt: Instant | undefined
  #renewedAt: Instant | undefined
  #isReplaced = false
  #isLeaving = false
  #configVersion = brand<ConfigVersion>(0)

  constructor (identity: MemberIdentity, table: TableStore, clock: Clock, random: Random, log: Log) {
    this.#identity = identity
    this.#table = table
    this.#clock = clock
    this.#random = random
    this.#log = log
    this.#sightings = new MemberSightings(clock)
    this.#check = { kind: 'absent', key: memberKey(identity.member) }
    this.#renewal = new Ticker(clock, MEMBER_TICK_MS, () => this.#renewWhenDue(), error => log.error(String(error)))
    this.#poll = new Ticker(clock, DIRECTORY_POLL_MS, () => this.poll(), error => log.error(String(error)))
  }

  get identity (): MemberIdentity {
    return this.#identity
  }

  /** Whether this member's own lease stands, counted from before the last renewal was sent. */
  get isLeaseHeld (): boolean {
    return !this.#isReplaced && this.#renewedAt !== undefined && this.#clock.now() - this.#renewedAt < MEMBER_LEASE_MS
  }

  /** Whether a later process has taken this member's id; this one must stop. */
  get isReplaced (): boolean {
    return this.#isReplaced
  }

  /** Time since the lease was last renewed, in milliseconds; `undefined` before the first renewal. */
  get leaseAgeMs (): number | undefined {
    return this.#renewedAt === undefined ? undefined : this.#clock.now() - this.#renewedAt
  }

  /** Whether this process has read the members' rows from the store since its start. */
  get hasLooked (): boolean {
    return this.#sightings.hasLooked
  }

  /** Rows of all members whose lease has not lapsed as seen from here. */
  get live (): readonly MemberRow[] {
    return this.#sightings.live
  }

  /** Whether a member's lease has lapsed: its row has stood still for longer than the lease, or is gone. */
  isLapsed (member: MemberId, incarnation: string): boolean {
    return this.#sightings.isLapsed(member, incarnation)
  }

  /** Takes over the members that a peer knows, until this process has read the rows itself. */
  adopt (rows: readonly MemberRow[]): void {
    if (this.#sightings.hasLooked) return
    this.#sightings.adopt(rows)
    for (const listener of this.#listeners) listener()
  }

  /** Calls `listener` after each look at the members. */
  onPoll (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** Calls `listener` once when a later process has taken this member's id. */
  onReplaced (listener: () => void): void {
    this.#replacedListeners.push(listener)
  }

  /** Tells the others with the next renewal. */
  setConfigVersion (version: ConfigVersion): void {
    this.#configVersion = version
  }

  start (): void {
    this.#renewal.start()
    this.#poll.start()
  }

  /** Marks this member as leaving; it keeps its lease until `stop`. */
  async leave (): Promise<void> {
    this.#isLeaving = true
    await this.#renewLogged()
  }

  /** Gives the lease up by removing the row; ends also while the store is down. */
  async stop (): Promise<void> {
    await this.#renewal.stop()
    await this.#poll.stop()
    if (this.#check.kind === 'absent' || this.#isReplaced) return
    const removed = await this.#remove(this.#check)
    if (removed.err) this.#log.warn('The member row could not be removed; it lapses by itself', { reason: removed.val.message })
  }

  /** Renews the lease once. */
  async renew (): Promise<Result<void, AuburnpinError>> {
    if (this.#isReplaced) return Err(replaced(this.#identity.member))
    const sentAt = this.#clock.now()
    this.#sentAt = sentAt
    const { key } = this.#check
    const outcome = await this.#table.transact({
      id: newTransactionId(this.#random), checks: [this.#check], puts: [{ key, value: this.#toRow() }], deletes: []
    })
    if (outcome.err) return outcome
    if (outcome.val.kind === 'conflict') return await this.#resolve(outcome.val.row)
    this.#check = { kind: 'version', key, version: outcome.val.version }
    this.#renewals++
    this.#renewedAt = sentAt
    return Ok(undefined)
  }

  /** Looks at all members' rows once. */
  async poll (): Promise<void> {
    const rows = await this.#table.listAll(MEMBERS_PREFIX)
    if (rows.err) {
      this.#log.warn('The members could not be read', { reason: rows.val.message })
      return
    }
    this.#sightings.look(rows.val)
    for (const listener of this.#listeners) listener()
    await this.#removeForgotten()
  }

  // A renewal that took long is followed by the next at once, so that a slow store costs no lease.
  async #renewWhenDue (): Promise<void> {
    const isDue = this.#sentAt === undefined || this.#clock.now() - this.#sentAt >= MEMBER_RENEW_MS
    if (isDue && !this.#isReplaced) await this.#renewLogged()
  }

  async #renewLogged (): Promise<void> {
    const renewed = await this.renew()
    if (renewed.err) this.#log.warn('The member lease could not be renewed', { reason: renewed.val.message })
  }

  /** Finds out whose the row is that differs from what was expected, and goes on from it. */
  async #resolve (row: Row | null): Promise<Result<void, AuburnpinError>> {
    const { key } = this.#check
    if (row === null) {
      this.#check = { kind: 'absent', key }
      return await this.renew()
    }
    const isOwn = (row.value as MemberRow).incarnation === this.#identity.incarnation
    // Whoever has held the lease before came first; the other process can only have come later.
    if (!isOwn && this.#renewals > 0) {
      this.#beReplaced()
      return Err(replaced(this.#identity.member))
    }
    this.#check = { kind: 'version', key, version: row.version }
    return await this.renew()
  }

  #beReplaced (): void {
    this.#isReplaced = true
    this.#log.error('A later process has this member\'s id; this one stops', { member: this.#identity.member })
    for (const listener of this.#replacedListeners) listener()
  }

  // One member does it, chosen alike by all; another one does it if that one is gone too.
  async #removeForgotten (): Promise<void> {
    if (!this.isLeaseHeld) return
    const members = this.live.map(row => row.member)
    for (const { row, version } of this.#sightings.forgettable) {
      if (rendezvousRank(row.member, members)[0] !== this.#identity.member) continue
      const removed = await this.#remove({ kind: 'version', key: memberKey(row.member), version })
      if (removed.ok) this.#log.info('The row of a member that is gone was removed', { gone: row.member })
    }
  }

  async #remove (check: RowCheck): Promise<Result<unknown, AuburnpinError>> {
    return await this.#table.transact({ id: newTransactionId(this.#random), checks: [check], puts: [], deletes: [check.key] })
  }

  #toRow (): MemberRow {
    return { ...this.#identity, renewals: this.#renewals, configVersion: this.#configVersion, isLeaving: this.#isLeaving }
  }
}

const replaced = (member: MemberId): AuburnpinError =>
  new AuburnpinError('fenced', `A later process is member ${member} now`, 'Give each process a member id of its own; after a replacement this is as it should be.')
