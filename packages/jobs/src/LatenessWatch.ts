/**
 * Tells a process that can't keep up from one that is late now and then.
 */
import { LATE_TICK_MS, LATE_TICKS } from './constants.ts'

/**
 * Counts ticks that come late, on time ones against them. Made for an owner on a VM with too little processor:
 * all its reports and orders are late, and its workers' leases run out.
 *
 * @example
 * if (watch.note(clock.now() - dueAt)) handOver()
 */
export class LatenessWatch {
  #lateTicks = 0

  /** Takes in how late a tick came, in milliseconds. `true` once the process has been late for long. */
  note (lateMs: number): boolean {
    this.#lateTicks = Math.max(0, this.#lateTicks + (lateMs >= LATE_TICK_MS ? 1 : -1))
    return this.#lateTicks >= LATE_TICKS
  }
}
