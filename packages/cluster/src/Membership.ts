/**
 * This member's own lease, and which other members hold theirs.
 */
import {
  AuburnpinError, brand, Err, Ok, Ticker, type Clock, type ConfigVersion, type Instant, type Log, type MemberId, type Random,
  type Result, type RowVersion
} from '@auburnpin/common'
import { newTransactionId, type RowCheck, type TableStore } from '@auburnpin/platform'
import { DIRECTORY_POLL_MS, MEMBER_LEASE_MS, MEMBER_MARGIN_MS, MEMBER_RENEW_MS } from './constants.ts'
import { memberKey, MEMBERS_PREFIX } from './storeKeys.ts'
import type { MemberRow } from './types.ts'

/** What a member tells of itself. */
export type MemberIdentity = Pick<MemberRow, 'member' | 'dataCentre' | 'roles' | 'peerAddress' | 'incarnation'>

type Sighting = Readonly<{ row: MemberRow, version: RowVersion, changedAt: Instant }>

/** Renews this member's row, and judges others by whether theirs change. */
export class Membership {
  readonly #identity: MemberIdentity
  readonly #table: TableStore
  readonly #clock: Clock
  readonly #random: Random
  readonly #log: Log
  readonly #renewal: Ticker
  readonly #poll: Ticker
  readonly #sightings = new Map<MemberId, Sighting>()
  readonly #listeners: Array<() => void> = []
  #check: RowCheck
  #renewals = 0
  #renewedAt: Instant | undefined
  #isLeaving = false
  #configVersion = brand<ConfigVersion>(0)

  constructor (identity: MemberIdentity, table: TableStore, clock: Clock, random: Random, log: Log) {
    this.#identity = identity
    this.#table = table
    this.#clock = clock
    this.#random = random
    this.#log = log
    this.#check = { kind: 'absent', key: memberKey(identity.member) }
    this.#renewal = new Ticker(clock, MEMBER_RENEW_MS, () => this.#renewLogged(), error => log.error(String(error)))
    this.#poll = new Ticker(clock, DIRECTORY_POLL_MS, () => this.poll(), error => log.error(String(error)))
  }

  get identity (): MemberIdentity {
    return this.#identity
  }

  /** Whether this member's own lease stands, counted from before the last renewal was sent. */
  get isLeaseHeld (): boolean {
    return this.#renewedAt !== undefined && this.#clock.now() - this.#renewedAt < MEMBER_LEASE_MS
  }

  /** Time since the lease was last renewed, in milliseconds; `undefined` before the first renewal. */
  get leaseAgeMs (): number | undefined {
    return this.#renewedAt === undefined ? undefined : this.#clock.now() - this.#renewedAt
  }

  /** Rows of all members whose lease has not lapsed as seen from here. */
  get live (): readonly MemberRow[] {
    const now = this.#clock.now()
    const rows: MemberRow[] = []
    for (const { row, changedAt } of this.#sightings.values()) {
      if (now - changedAt < MEMBER_LEASE_MS + MEMBER_MARGIN_MS) rows.push(row)
    }
    return rows
  }

  /** Whether a member's lease has lapsed: its row has stood still for longer than the lease, or is gone. */
  isLapsed (member: MemberId, incarnation: string): boolean {
    const row = this.live.find(candidate => candidate.member === member)
    return row === undefined || row.incarnation !== incarnation
  }

  /** Calls `listener` after each look at the members. */
  onPoll (listener: () => void): void {
    this.#listeners.push(listener)
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

  /** Gives the lease up. */
  async stop (): Promise<void> {
    await this.#renewal.stop()
    await this.#poll.stop()
    if (this.#check.kind === 'absent') return
    await this.#table.transact({ id: newTransactionId(this.#random), checks: [this.#check], puts: [{ key: this.#check.key, value: this.#toRow(true) }], deletes: [] })
  }

  /** Renews the lease once. */
  async renew (): Promise<Result<void, AuburnpinError>> {
    const sentAt = this.#clock.now()
    const outcome = await this.#table.transact({
      id: newTransactionId(this.#random), checks: [this.#check], puts: [{ key: this.#check.key, value: this.#toRow(this.#isLeaving) }], deletes: []
    })
    if (outcome.err) return outcome
    if (outcome.val.kind === 'conflict') return this.#replaceEarlier(outcome.val.row)
    this.#check = { kind: 'version', key: this.#check.key, version: outcome.val.version }
    this.#renewals++
    this.#renewedAt = sentAt
    return Ok(undefined)
  }

  /** Looks at all members' rows once. */
  async poll (): Promise<void> {
    const askedAt = this.#clock.now()
    const rows = await this.#table.listAll(MEMBERS_PREFIX)
    if (rows.err) {
      this.#log.warn('The members could not be read', { reason: rows.val.message })
      return
    }
    const present = new Set<MemberId>()
    for (const { value, version } of rows.val) {
      const row = value as MemberRow
      present.add(row.member)
      const before = this.#sightings.get(row.member)
      const changedAt = before?.version === version ? before.changedAt : askedAt
      this.#sightings.set(row.member, { row, version, changedAt })
    }
    for (const member of this.#sightings.keys()) {
      if (!present.has(member)) this.#sightings.delete(member)
    }
    for (const listener of this.#listeners) listener()
  }

  async #renewLogged (): Promise<void> {
    const renewed = await this.renew()
    if (renewed.err) this.#log.warn('The member lease could not be renewed', { reason: renewed.val.message })
  }

  // An earlier process of the same member may have left its row; two live ones would fight over it.
  #replaceEarlier (row: { readonly version: RowVersion, readonly value: unknown } | null): Result<void, AuburnpinError> {
    this.#renewedAt = undefined
    const { key } = this.#check
    if (row === null) {
      this.#check = { kind: 'absent', key }
      return Err(new AuburnpinError('conflict', 'The member row has vanished', 'It is written again by itself.'))
    }
    this.#check = { kind: 'version', key, version: row.version }
    return Err(new AuburnpinError('conflict', `Another process is or was member ${this.#identity.member}`, 'Give each process a member id of its own; after a restart this passes by itself.'))
  }

  #toRow (isLeaving: boolean): MemberRow {
    return { ...this.#identity, renewals: this.#renewals, configVersion: this.#configVersion, isLeaving }
  }
}
