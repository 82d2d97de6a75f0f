/**
 * Outlier detection for the endpoints of one service: ejects those that fail and ramps them up again.
 */
import { brand, type EndpointId, type Instant } from '@auburnpin/common'
import type { Endpoint } from '../cell/types.ts'
import {
  BUSY_PAUSE_MS, EJECTION_MS, FAILURE_MEMORY_MS, FAILURES_TO_EJECT, LEAVING_MEMORY_MS, MAX_EJECTED_SHARE, MAX_EJECTION_MS, RAMP_UP_SLOTS
} from './constants.ts'
import type { RequestOutcome } from './types.ts'

type HealthRecord = Readonly<{
  failures: number
  lastFailureAt: Instant
  /** Consecutive ejections. */
  ejections: number
  ejectedUntil: Instant
  leavingUntil: Instant
  busyUntil: Instant
  /** Slots that may be taken while the endpoint ramps up after an ejection. */
  rampUpSlots?: number
}>

const NEVER = brand<Instant>(-Infinity)
const HEALTHY: HealthRecord = { failures: 0, lastFailureAt: NEVER, ejections: 0, ejectedUntil: NEVER, leavingUntil: NEVER, busyUntil: NEVER }

/** An ejected endpoint gets no requests for a time that doubles with each ejection, then a growing number of slots. */
export class EndpointHealth {
  readonly #records = new Map<EndpointId, HealthRecord>()

  /** Removes the records of all other endpoints. */
  retainOnly (endpoints: readonly Endpoint[]): void {
    const ids = new Set(endpoints.map(endpoint => endpoint.id))
    for (const id of this.#records.keys()) {
      if (!ids.has(id)) this.#records.delete(id)
    }
  }

  /** Number of the endpoint's slots that may be in use at present. */
  allowedSlots (endpoint: Endpoint, now: Instant): number {
    const record = this.#records.get(endpoint.id) ?? HEALTHY
    if (endpoint.isLeaving || now < record.leavingUntil) return 0
    if (now < record.busyUntil || now < record.ejectedUntil) return 0
    return Math.min(endpoint.slots, record.rampUpSlots ?? endpoint.slots)
  }

  /** Whether a request to the endpoint has failed a short time ago. */
  hasFailedRecently (id: EndpointId, now: Instant): boolean {
    const record = this.#records.get(id)
    return record !== undefined && now - record.lastFailureAt < FAILURE_MEMORY_MS
  }

  /** Records the outcome of a request; `siblings` are all endpoints of the service. */
  record (id: EndpointId, outcome: RequestOutcome, siblings: readonly Endpoint[], now: Instant): void {
    const before = this.#records.get(id) ?? HEALTHY
    if (outcome === 'answered') this.#succeed(id, before)
    else if (outcome === 'failed') this.#fail(id, before, siblings, now)
    else if (outcome === 'refused-leaving') this.#records.set(id, { ...before, leavingUntil: later(now, LEAVING_MEMORY_MS) })
    else if (outcome === 'refused-busy') this.#records.set(id, { ...before, busyUntil: later(now, BUSY_PAUSE_MS) })
  }

  #succeed (id: EndpointId, before: HealthRecord): void {
    if (before.rampUpSlots === undefined) {
      if (before !== HEALTHY) this.#records.set(id, { ...before, failures: 0 })
      return
    }
    const rampUpSlots = before.rampUpSlots * 2
    // Endpoints have at most a few dozen slots, so beyond the limit the ramp-up is complete.
    if (rampUpSlots > MAX_RAMP_UP_SLOTS) this.#records.delete(id)
    else this.#records.set(id, { ...before, failures: 0, rampUpSlots })
  }

  #fail (id: EndpointId, before: HealthRecord, siblings: readonly Endpoint[], now: Instant): void {
    const failures = before.failures + 1
    const isOutlier = failures >= FAILURES_TO_EJECT || before.rampUpSlots !== undefined
    if (!isOutlier || now < before.ejectedUntil || !this.#mayEject(siblings, now)) {
      this.#records.set(id, { ...before, failures, lastFailureAt: now })
      return
    }
    const ejectionMs = Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** before.ejections)
    this.#records.set(id, {
      ...before, failures, lastFailureAt: now, ejections: before.ejections + 1, ejectedUntil: later(now, ejectionMs), rampUpSlots: RAMP_UP_SLOTS
    })
  }

  // If all endpoints of a service fail, sending requests to them is better than refusing every request.
  #mayEject (siblings: readonly Endpoint[], now: Instant): boolean {
    let ejected = 0
    for (const { id } of siblings) {
      if (now < (this.#records.get(id) ?? HEALTHY).ejectedUntil) ejected++
    }
    return ejected + 1 <= siblings.length * MAX_EJECTED_SHARE
  }
}

const MAX_RAMP_UP_SLOTS = 32

const later = (now: Instant, delayMs: number): Instant => brand<Instant>(now + delayMs)
