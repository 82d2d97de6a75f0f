/**
 * The members' rows as this process has read them, and which leases have expired by that evidence.
 */
import { brand, type Clock, type Instant, type MemberId, type RowVersion } from '@auburnpin/common'
import type { Row } from '@auburnpin/ports'
import { MEMBER_ROW_RETENTION_MS, MEMBER_LEASE_MS, MEMBER_LEASE_MARGIN_MS, MEMBER_READ_GAP_MS } from './constants.ts'
import type { MemberRow } from './types.ts'

/** A member's row, its version, and when this process last observed a change of it. */
export type ObservedMember = Readonly<{ row: MemberRow, version: RowVersion, changedAt: Instant }>

/**
 * Determines expiry as of the last read of the rows: a lease expires only if its row stays unchanged over
 * successful reads. Time in which this process was paused or could not reach the store does not count.
 */
export class ObservedMembers {
  readonly #clock: Clock
  #members: ReadonlyMap<MemberId, ObservedMember> = new Map()
  #readAt: Instant | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether this process has read the rows from the store since its start. */
  get hasReadRows (): boolean {
    return this.#readAt !== undefined
  }

  /** Rows whose lease was valid at the last read. */
  get live (): readonly MemberRow[] {
    const rows: MemberRow[] = []
    for (const entry of this.#members.values()) {
      if (this.#unchangedMs(entry) < MEMBER_LEASE_MS + MEMBER_LEASE_MARGIN_MS) rows.push(entry.row)
    }
    return rows
  }

  /** Rows that have been unchanged for long enough to be removed. */
  get removable (): readonly ObservedMember[] {
    return [...this.#members.values()].filter(entry => this.#unchangedMs(entry) >= MEMBER_ROW_RETENTION_MS)
  }

  /** Records all rows from a read that has just completed. */
  update (rows: readonly Row[]): void {
    const now = this.#clock.now()
    const isGap = this.#readAt !== undefined && now - this.#readAt > MEMBER_READ_GAP_MS
    const members = new Map<MemberId, ObservedMember>()
    for (const { value, version } of rows) {
      const row = value as MemberRow
      const before = this.#members.get(row.member)
      // Counted from the response, not from the request, because the row may have changed between the two.
      const changedAt = before?.version === version && !isGap ? before.changedAt : now
      members.set(row.member, { row, version, changedAt })
    }
    this.#members = members
    this.#readAt = now
  }

  /** Adopts a peer's view of the members; ignored once this process has read the rows from the store. */
  adopt (rows: readonly MemberRow[]): void {
    if (this.#readAt !== undefined) return
    const now = this.#clock.now()
    const members = new Map(this.#members)
    for (const row of rows) members.set(row.member, { row, version: UNKNOWN_VERSION, changedAt: now })
    this.#members = members
  }

  /** Whether this incarnation of the member has certainly lost its lease. */
  isExpired (member: MemberId, incarnation: string): boolean {
    if (this.#readAt === undefined) return false
    const entry = this.#members.get(member)
    if (entry === undefined || entry.row.incarnation !== incarnation) return true
    return this.#unchangedMs(entry) >= MEMBER_LEASE_MS + MEMBER_LEASE_MARGIN_MS
  }

  #unchangedMs (entry: ObservedMember): number {
    return this.#readAt === undefined ? 0 : this.#readAt - entry.changedAt
  }
}

// Differs from every version that the store assigns.
const UNKNOWN_VERSION = brand<RowVersion>(0)
