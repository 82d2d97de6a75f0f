/**
 * Detects that a process can't keep up with its work, as opposed to an occasional late timer.
 */
import { LATE_TICK_THRESHOLD_MS, OVERLOAD_LATE_TICKS } from './constants.ts'

/**
 * Counts late ticks; each punctual tick lowers the count by one. It detects an owner on a VM with too little
 * processor time, where all reports and orders are late and the leases of the workers expire.
 *
 * @example
 * if (detector.recordTick(clock.now() - dueAt)) releaseCell()
 */
export class OverloadDetector {
  #lateTicks = 0

  /** Records how late a tick fired, in milliseconds. Returns `true` while the process is overloaded. */
  recordTick (lateMs: number): boolean {
    this.#lateTicks = Math.max(0, this.#lateTicks + (lateMs >= LATE_TICK_THRESHOLD_MS ? 1 : -1))
    return this.#lateTicks >= OVERLOAD_LATE_TICKS
  }
}
