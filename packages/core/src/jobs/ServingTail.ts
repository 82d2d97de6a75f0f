/**
 * What the readings of one serving run tell.
 */
import type { Instant } from '@auburnpin/common'
import { LONE_EXCESS_MS, TAIL_SMOOTHING, TREND_SHARE } from './constants.ts'

/** Pressures of one run: how busy its server is, as a share of how busy it may be on its target. */
export class ServingTail {
  #own = 0
  #shown?: number
  #smoothed = 0
  #foreseen = 0
  #disturbance?: number
  #overSince?: Instant

  /** The newest reading by itself. */
  get own (): number {
    return this.#own
  }

  /** Smoothed over the last readings. */
  get smoothed (): number {
    return this.#smoothed
  }

  /** The newest, with its rise going on, as the load of serving tasks swings within seconds. */
  get foreseen (): number {
    return this.#foreseen
  }

  /** What the fillers beside it add; `undefined` if that can't be told from its load. */
  get disturbance (): number | undefined {
    return this.#disturbance
  }

  /** Takes in a reading. */
  read (pressure: number, now: Instant): void {
    this.#own = pressure
    if (pressure < 1) this.#overSince = undefined
    else this.#overSince ??= now
  }

  /**
   * Weighs the reading against the load of its step and the disturbance that its neighbours show: a reading far
   * above both is odd, and counts only if it stays.
   */
  judge (load: number | undefined, disturbance: number | undefined, now: Instant): void {
    const isLone = this.#overSince !== undefined && now - this.#overSince >= LONE_EXCESS_MS
    const pressure = load === undefined || disturbance === undefined || isLone ? this.#own : load + disturbance
    this.#disturbance = isLone ? undefined : disturbance
    this.#foreseen = pressure + Math.max(0, pressure - (this.#shown ?? pressure)) * TREND_SHARE
    this.#smoothed = this.#shown === undefined ? pressure : this.#smoothed + TAIL_SMOOTHING * (pressure - this.#smoothed)
    this.#shown = pressure
  }
}
