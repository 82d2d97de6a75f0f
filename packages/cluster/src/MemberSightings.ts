/**
 * What this process has seen of the members' rows, and which leases have lapsed by it.
 */
import { brand, type Clock, type Instant, type MemberId, type RowVersion } from '@auburnpin/common'
import type { Row } from '@auburnpin/ports'
import { MEMBER_FORGET_MS, MEMBER_LEASE_MS, MEMBER_MARGIN_MS, SIGHTING_GAP_MS } from './constants.ts'
import type { MemberRow } from './types.ts'

/** A member's row, its version, and when this process saw it change last. */
export type MemberSighting = Readonly<{ row: MemberRow, version: RowVersion, changedAt: Instant }>

/**
 * Judges leases as of the last look at the rows: a row lapses only by standing still under looks that
 * succeeded. Time in which this process saw nothing, paused or cut off from the store, proves nothing.
 */
export class MemberSightings {
  readonly #clock: Clock
  #sightings: ReadonlyMap<MemberId, MemberSighting> = new Map()
  #lookedAt: Instant | undefined

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether this process has ever read the rows itself. */
  get hasLooked (): boolean {
    return this.#lookedAt !== undefined
  }

  /** Rows whose lease stood at the last look. */
  get live (): readonly MemberRow[] {
    const rows: MemberRow[] = []
    for (const sighting of this.#sightings.values()) {
      if (this.#ageOf(sighting) < MEMBER_LEASE_MS + MEMBER_MARGIN_MS) rows.push(sighting.row)
    }
    return rows
  }

  /** Rows that have stood still for so long that they can be removed. */
  get forgettable (): readonly MemberSighting[] {
    return [...this.#sightings.values()].filter(sighting => this.#ageOf(sighting) >= MEMBER_FORGET_MS)
  }

  /** Takes in all rows as the store has just answered them. */
  look (rows: readonly Row[]): void {
    const now = this.#clock.now()
    const isGap = this.#lookedAt !== undefined && now - this.#lookedAt > SIGHTING_GAP_MS
    const sightings = new Map<MemberId, MemberSighting>()
    for (const { value, version } of rows) {
      const row = value as MemberRow
      const before = this.#sightings.get(row.member)
      // Counted from the answer, not from the question: the row may have changed between the two.
      const changedAt = before?.version === version && !isGap ? before.changedAt : now
      sightings.set(row.member, { row, version, changedAt })
    }
    this.#sightings = sightings
    this.#lookedAt = now
  }

  /** Takes over another member's view; only a process that has never seen the rows itself needs it. */
  adopt (rows: readonly MemberRow[]): void {
    if (this.#lookedAt !== undefined) return
    const now = this.#clock.now()
    const sightings = new Map(this.#sightings)
    for (const row of rows) sightings.set(row.member, { row, version: UNKNOWN_VERSION, changedAt: now })
    this.#sightings = sightings
  }

  /** Whether that process has surely lost its member lease. */
  isLapsed (member: MemberId, incarnation: string): boolean {
    if (this.#lookedAt === undefined) return false
    const sighting = this.#sightings.get(member)
    if (sighting === undefined || sighting.row.incarnation !== incarnation) return true
    return this.#ageOf(sighting) >= MEMBER_LEASE_MS + MEMBER_MARGIN_MS
  }

  #ageOf (sighting: MemberSighting): number {
    return this.#lookedAt === undefined ? 0 : this.#lookedAt - sighting.changedAt
  }
}

const UNKNOWN_VERSION = brand<RowVersion>(0)
