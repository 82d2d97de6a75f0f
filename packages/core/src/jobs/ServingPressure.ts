/**
 * Pressure on one serving run.
 */
import type { Instant } from '@auburnpin/common'
import { OUTLIER_CONFIRM_MS, PRESSURE_SMOOTHING, TREND_DAMPING } from './constants.ts'

/** Pressure derived from the readings of one run: its utilisation relative to the utilisation at its latency target. */
export class ServingPressure {
  #latest = 0
  #previous?: number
  #smoothed = 0
  #forecast = 0
  #interference?: number
  #overTargetSince?: Instant

  /** Pressure of the latest reading. */
  get latest (): number {
    return this.#latest
  }

  /** Pressure smoothed over the last readings. */
  get smoothed (): number {
    return this.#smoothed
  }

  /** Latest pressure with its last rise extrapolated, as the load of serving tasks changes within seconds. */
  get forecast (): number {
    return this.#forecast
  }

  /** Pressure added by fillers on the same worker; `undefined` if it cannot be separated from the load. */
  get interference (): number | undefined {
    return this.#interference
  }

  /** Records the pressure of a reading. */
  record (pressure: number, now: Instant): void {
    this.#latest = pressure
    if (pressure < 1) this.#overTargetSince = undefined
    else this.#overTargetSince ??= now
  }

  /**
   * Updates the pressure from the load of the step and the interference measured on the worker. The task's own reading
   * is used only if either is unknown, or if it has been over target for `OUTLIER_CONFIRM_MS`.
   */
  update (load: number | undefined, interference: number | undefined, now: Instant): void {
    const isConfirmed = this.#overTargetSince !== undefined && now - this.#overTargetSince >= OUTLIER_CONFIRM_MS
    const pressure = load === undefined || interference === undefined || isConfirmed ? this.#latest : load + interference
    this.#interference = isConfirmed ? undefined : interference
    this.#forecast = pressure + Math.max(0, pressure - (this.#previous ?? pressure)) * TREND_DAMPING
    this.#smoothed = this.#previous === undefined ? pressure : this.#smoothed + PRESSURE_SMOOTHING * (pressure - this.#smoothed)
    this.#previous = pressure
  }
}
