/**
 * Which endpoints of one service have failed lately, and how many slots those that return get.
 */
import { brand, type EndpointId, type Instant } from '@auburnpin/common'
import type { Endpoint } from '../cell/types.ts'
import {
  BUSY_PAUSE_MS, LEAVING_MEMORY_MS, OUTLIER_FAILURES, OUTLIER_MAX_SHARE, OUTLIER_PAUSE_MAX_MS, OUTLIER_PAUSE_MS, RETURN_SLOTS
} from './constants.ts'
import type { EndpointReport } from './types.ts'

type Standing = Readonly<{
  failures: number
  /** Times in a row that the endpoint was taken out of the choice. */
  exclusions: number
  excludedUntil: Instant
  leavingUntil: Instant
  busyUntil: Instant
  /** Slots that may be taken while the endpoint returns. */
  returning?: number
}>

const LONG_AGO = brand<Instant>(-Infinity)
const GOOD: Standing = { failures: 0, exclusions: 0, excludedUntil: LONG_AGO, leavingUntil: LONG_AGO, busyUntil: LONG_AGO }

/** Takes outliers out of the choice for a while and lets them return slowly. */
export class EndpointHealth {
  readonly #standings = new Map<EndpointId, Standing>()

  /** Forgets endpoints that are no more. */
  keepOnly (endpoints: readonly Endpoint[]): void {
    const ids = new Set(endpoints.map(endpoint => endpoint.id))
    for (const id of this.#standings.keys()) {
      if (!ids.has(id)) this.#standings.delete(id)
    }
  }

  /** Slots that may be taken on the endpoint at present. */
  allowedSlots (endpoint: Endpoint, now: Instant): number {
    const standing = this.#standings.get(endpoint.id) ?? GOOD
    if (endpoint.isLeaving || now < standing.leavingUntil) return 0
    if (now < standing.busyUntil || now < standing.excludedUntil) return 0
    return Math.min(endpoint.slots, standing.returning ?? endpoint.slots)
  }

  /** Takes in how a request ended; `siblings` are all endpoints of the service. */
  report (id: EndpointId, report: EndpointReport, siblings: readonly Endpoint[], now: Instant): void {
    const before = this.#standings.get(id) ?? GOOD
    if (report === 'answered') this.#succeed(id, before)
    else if (report === 'failed') this.#fail(id, before, siblings, now)
    else if (report === 'refused-leaving') this.#standings.set(id, { ...before, leavingUntil: later(now, LEAVING_MEMORY_MS) })
    else if (report === 'refused-busy') this.#standings.set(id, { ...before, busyUntil: later(now, BUSY_PAUSE_MS) })
  }

  #succeed (id: EndpointId, before: Standing): void {
    if (before.returning === undefined) {
      if (before !== GOOD) this.#standings.set(id, { ...before, failures: 0 })
      return
    }
    const returning = before.returning * 2
    // An endpoint takes at most some dozens of slots; past that it has returned for good.
    if (returning > FULL_RETURN_SLOTS) this.#standings.delete(id)
    else this.#standings.set(id, { ...before, failures: 0, returning })
  }

  #fail (id: EndpointId, before: Standing, siblings: readonly Endpoint[], now: Instant): void {
    const failures = before.failures + 1
    const isOutlier = failures >= OUTLIER_FAILURES || before.returning !== undefined
    if (!isOutlier || now < before.excludedUntil || !this.#mayExclude(siblings, now)) {
      this.#standings.set(id, { ...before, failures })
      return
    }
    const pause = Math.min(OUTLIER_PAUSE_MAX_MS, OUTLIER_PAUSE_MS * 2 ** before.exclusions)
    this.#standings.set(id, {
      ...before, failures, exclusions: before.exclusions + 1, excludedUntil: later(now, pause), returning: RETURN_SLOTS
    })
  }

  // A service whose endpoints all fail is better tried than refused as a whole.
  #mayExclude (siblings: readonly Endpoint[], now: Instant): boolean {
    let excluded = 0
    for (const { id } of siblings) {
      if (now < (this.#standings.get(id) ?? GOOD).excludedUntil) excluded++
    }
    return excluded + 1 <= siblings.length * OUTLIER_MAX_SHARE
  }
}

const FULL_RETURN_SLOTS = 32

const later = (now: Instant, delayMs: number): Instant => brand<Instant>(now + delayMs)
