/**
 * When the runs of earlier owners are known or have certainly ended.
 */
import type { Instant } from '@auburnpin/common'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Keeps back the tasks that an earlier owner may have started until each worker has reported all of its runs to this owner,
 * or its lease has certainly expired. A worker that has more ends than one report lists counts as soon as the last of them
 * has arrived: until then a task that isn't listed may be done.
 *
 * @example
 * const reconciliation = new TakeoverReconciliation(leaseExpiry(leaseMs, now))
 * if (reconciliation.update(workers, now)) start(earlierTasks)
 */
export class TakeoverReconciliation {
  /** When all leases that earlier owners extended have expired. */
  readonly earlierLeasesExpireAt: Instant
  #areEarlierWorkersKnown = true
  #isDone = false

  constructor (earlierLeasesExpireAt: Instant) {
    this.earlierLeasesExpireAt = earlierLeasesExpireAt
  }

  /** Whether all runs of earlier owners were known or had ended at the last update. */
  get isDone (): boolean {
    return this.#isDone
  }

  /** Records that an earlier owner may have used workers that this one doesn't know. */
  waitForEarlierLeases (): void {
    this.#areEarlierWorkersKnown = false
  }

  /** Checks the workers unless all runs are known already, and returns whether they are. */
  update (workers: Iterable<WorkerRecord>, now: Instant): boolean {
    this.#isDone ||= this.#areAllKnown(workers, now)
    return this.#isDone
  }

  #areAllKnown (workers: Iterable<WorkerRecord>, now: Instant): boolean {
    const areEarlierLeasesOver = now >= this.earlierLeasesExpireAt
    if (!areEarlierLeasesOver && !this.#areEarlierWorkersKnown) return false
    for (const worker of workers) {
      // This owner may have extended the lease since, so the ends are lost only with that lease.
      if (worker.mayReportMoreEnds(now)) return false
      if (!areEarlierLeasesOver && !worker.hasReported && now < worker.leaseExpiresAt) return false
    }
    return true
  }
}
