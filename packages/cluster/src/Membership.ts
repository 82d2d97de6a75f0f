/**
 * This member's own lease, and which other members have a valid one.
 */
import {
  AuburnpinError, brand, Err, Ok, rendezvousRank, Ticker, type Clock, type ConfigVersion, type Instant, type Log, type MemberId, type Random, type Result
} from '@auburnpin/common'
import { newTransactionId, type Row, type RowCheck, type TableStore } from '@auburnpin/ports'
import { DIRECTORY_POLL_MS, MEMBER_LEASE_MS, MEMBER_RENEW_MS, MEMBER_RENEW_CHECK_MS } from './constants.ts'
import { ObservedMembers } from './ObservedMembers.ts'
import { memberKey, MEMBERS_PREFIX } from './storeKeys.ts'
import type { MemberRow } from './types.ts'

/** The fields of a member's row that do not change while the process runs. */
export type MemberIdentity = Pick<MemberRow, 'member' | 'dataCentre' | 'roles' | 'peerAddress' | 'incarnation'>

/** Renews this member's row, and detects failed members by whether their rows change. */
export class Membership {
  readonly #identity: MemberIdentity
  readonly #table: TableStore
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #renewal: Ticker
  readonly #poll: Ticker
  readonly #observed: ObservedMembers
  readonly #listeners: Array<() => void> = []
  readonly #replacedListeners: Array<() => void> = []
  #check: RowCheck
  #renewals = 0
  #renewalSentAt: Instant | undefined
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
    this.#observed = new ObservedMembers(clock)
    this.#check = { kind: 'absent', key: memberKey(identity.member) }
    this.#renewal = new Ticker(clock, MEMBER_RENEW_CHECK_MS, () => this.#renewWhenDue(), error => log.error(String(error)))
    this.#poll = new Ticker(clock, DIRECTORY_POLL_MS, () => this.poll(), error => log.error(String(error)))
  }

  get identity (): MemberIdentity {
    return this.#identity
  }

  /** Whether this member's own lease is valid, counted from when the last successful renewal was sent. */
  get isLeaseHeld (): boolean {
    return !this.#isReplaced && this.#renewedAt !== undefined && this.#clock.now() - this.#renewedAt < MEMBER_LEASE_MS
  }

  /** Whether a later process has claimed this member's id; this process must stop. */
  get isReplaced (): boolean {
    return this.#isReplaced
  }

  /** Time since the lease was last renewed, in milliseconds; `undefined` before the first renewal. */
  get leaseAgeMs (): number | undefined {
    return this.#renewedAt === undefined ? undefined : this.#clock.now() - this.#renewedAt
  }

  /** Whether this process has read the members' rows from the store since its start. */
  get hasReadRows (): boolean {
    return this.#observed.hasReadRows
  }

  /** Rows of all members whose lease has not expired as observed by this process. */
  get live (): readonly MemberRow[] {
    return this.#observed.live
  }

  /** Whether a member's lease has expired: its row has been unchanged for longer than the lease, or is missing. */
  isLeaseExpired (member: MemberId, incarnation: string): boolean {
    return this.#observed.isExpired(member, incarnation)
  }

  /** Adopts a peer's view of the members; ignored once this process has read the rows from the store. */
  adopt (rows: readonly MemberRow[]): void {
    if (this.#observed.hasReadRows) return
    this.#observed.adopt(rows)
    for (const listener of this.#listeners) listener()
  }

  /** Calls `listener` whenever the view of the members has been read or adopted. */
  onPoll (listener: () => void): void {
    this.#listeners.push(listener)
  }

  /** Calls `listener` once when a later process has claimed this member's id. */
  onReplaced (listener: () => void): void {
    this.#replacedListeners.push(listener)
  }

  /** Sets the configuration version that the next renewal publishes. */
  setConfigVersion (version: ConfigVersion): void {
    this.#configVersion = version
  }

  start (): void {
    this.#renewal.start()
    this.#poll.start()
  }

  /** Publishes that this member is leaving; it keeps its lease until `stop`. */
  async leave (): Promise<void> {
    this.#isLeaving = true
    await this.#renewLogged()
  }

  /** Releases the lease by removing the row; completes also while the store is unavailable. */
  async stop (): Promise<void> {
    await this.#renewal.stop()
    await this.#poll.stop()
    if (this.#check.kind === 'absent' || this.#isReplaced) return
    const removed = await this.#removeRow(this.#check)
    if (removed.err) this.#log.warn('The member\'s row could not be removed; its lease will expire', { reason: removed.val.message })
  }

  /** Renews the lease once. */
  async renew (): Promise<Result<void, AuburnpinError>> {
    if (this.#isReplaced) return Err(replacedError(this.#identity.member))
    const sentAt = this.#clock.now()
    this.#renewalSentAt = sentAt
    const { key } = this.#check
    const outcome = await this.#table.transact({
      id: newTransactionId(this.#random), checks: [this.#check], puts: [{ key, value: this.#toRow() }], deletes: []
    })
    if (outcome.err) return outcome
    if (outcome.val.kind === 'conflict') return await this.#resolveConflict(outcome.val.row)
    this.#check = { kind: 'version', key, version: outcome.val.version }
    this.#renewals++
    this.#renewedAt = sentAt
    return Ok(undefined)
  }

  /** Reads the rows of all members once. */
  async poll (): Promise<void> {
    const rows = await this.#table.listAll(MEMBERS_PREFIX)
    if (rows.err) {
      this.#log.warn('The rows of the members could not be read', { reason: rows.val.message })
      return
    }
    this.#observed.update(rows.val)
    for (const listener of this.#listeners) listener()
    await this.#removeExpiredRows()
  }

  // After a slow renewal the next one starts at once, so that a slow store does not let the lease expire.
  async #renewWhenDue (): Promise<void> {
    const isDue = this.#renewalSentAt === undefined || this.#clock.now() - this.#renewalSentAt >= MEMBER_RENEW_MS
    if (isDue && !this.#isReplaced) await this.#renewLogged()
  }

  async #renewLogged (): Promise<void> {
    const renewed = await this.renew()
    if (renewed.err) this.#log.warn('The member lease could not be renewed', { reason: renewed.val.message })
  }

  /** Handles a row that differs from the expected one: renews from it, unless another process has claimed this id. */
  async #resolveConflict (row: Row | null): Promise<Result<void, AuburnpinError>> {
    const { key } = this.#check
    if (row === null) {
      this.#check = { kind: 'absent', key }
      return await this.renew()
    }
    const isOwn = (row.value as MemberRow).incarnation === this.#identity.incarnation
    // This process has renewed before, so it is the earlier one and the row belongs to a later process.
    if (!isOwn && this.#renewals > 0) {
      this.#markReplaced()
      return Err(replacedError(this.#identity.member))
    }
    this.#check = { kind: 'version', key, version: row.version }
    return await this.renew()
  }

  #markReplaced (): void {
    this.#isReplaced = true
    this.#log.error('A later process has claimed this member\'s id; this process stops', { member: this.#identity.member })
    for (const listener of this.#replacedListeners) listener()
  }

  // Rendezvous hashing makes all live members choose the same one to remove a row, and another if that one fails.
  async #removeExpiredRows (): Promise<void> {
    if (!this.isLeaseHeld) return
    const members = this.live.map(row => row.member)
    for (const { row, version } of this.#observed.removable) {
      if (rendezvousRank(row.member, members)[0] !== this.#identity.member) continue
      const removed = await this.#removeRow({ kind: 'version', key: memberKey(row.member), version })
      if (removed.ok) this.#log.info('Removed the row of a member whose lease expired', { gone: row.member })
    }
  }

  async #removeRow (check: RowCheck): Promise<Result<unknown, AuburnpinError>> {
    return await this.#table.transact({ id: newTransactionId(this.#random), checks: [check], puts: [], deletes: [check.key] })
  }

  #toRow (): MemberRow {
    return { ...this.#identity, renewals: this.#renewals, configVersion: this.#configVersion, isLeaving: this.#isLeaving }
  }
}

const replacedError = (member: MemberId): AuburnpinError =>
  new AuburnpinError('fenced', `A later process has claimed member id ${member}`, 'Give each process its own member id; nothing needs to be done if the process was replaced on purpose.')
