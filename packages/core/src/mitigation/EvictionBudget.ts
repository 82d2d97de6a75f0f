/**
 * Limits the rate at which a cell evicts tasks to protect services.
 */
import type { Instant } from '@auburnpin/common'
import { EVICTION_BURST_MS } from '../constants.ts'

const MINUTE_MS = 60_000

/** A token bucket. Evictions for priority tasks are not counted. */
export class EvictionBudget {
  #perMinute: number
  #tokens: number
  #at: Instant | undefined

  constructor (perMinute: number) {
    this.#perMinute = perMinute
    this.#tokens = this.#burst
  }

  configure (perMinute: number): void {
    this.#perMinute = perMinute
  }

  /** Takes one token; returns whether there was one. */
  take (now: Instant): boolean {
    const passedMs = now - (this.#at ?? now)
    this.#at = now
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#perMinute * passedMs / MINUTE_MS)
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }

  get #burst (): number {
    return Math.max(1, this.#perMinute * EVICTION_BURST_MS / MINUTE_MS)
  }
}
