/**
 * When the runs of earlier owners are known or have certainly ended.
 */
import { brand, type Instant, type WorkerId } from '@auburnpin/common'
import { InheritedLease } from './InheritedLease.ts'
import { leaseExpiry } from './leaseExpiry.ts'
import { ResolvedTasks } from './ResolvedTasks.ts'
import type { StepRecord } from './StepRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** When the leases of a worker are over by the record of an earlier owner: those that it extended, and those that calls for earlier incarnations may have set. */
export type RecordedLease = Readonly<{ overAt?: Instant | undefined, inheritedOverAt?: Instant | undefined }>

/**
 * Keeps back the tasks that an earlier owner may have started until each worker has reported all of its runs to this owner,
 * or its lease has certainly expired; some of them are known sooner (`ResolvedTasks`). A worker that has more ends than one report lists counts as soon as the last of them
 * has arrived: until then a task that isn't listed may be done.
 *
 * @example
 * const reconciliation = new TakeoverReconciliation(leaseMs, earlierTermOverAt)
 * if (reconciliation.update(workers, now)) start(earlierTasks)
 */
export class TakeoverReconciliation {
  readonly #earlierTermOverAt: Instant
  /** When all leases that earlier owners extended have expired. */
  readonly #earlierLeasesExpireAt: Instant
  /** When all leases have expired that their calls can have set on reborn workers. */
  readonly #inheritedLeasesExpireAt: Instant
  /** Tasks that may start before all runs are known. */
  readonly tasks = new ResolvedTasks()
  #areEarlierWorkersKnown = true
  #isDone = false

  /** Earlier owners extended leases by at most `leaseMs` and sent their last call before `earlierTermOverAt`. */
  constructor (leaseMs: number, earlierTermOverAt: Instant) {
    this.#earlierTermOverAt = earlierTermOverAt
    this.#earlierLeasesExpireAt = leaseExpiry(leaseMs, earlierTermOverAt)
    const inherited = new InheritedLease()
    inherited.inheritCalls(earlierTermOverAt)
    this.#inheritedLeasesExpireAt = inherited.expiresAt
  }

  /** Whether all runs of earlier owners were known or had ended at the last update. */
  get isDone (): boolean {
    return this.#isDone
  }

  /** Records that an earlier owner may have used workers that this one doesn't know. */
  waitForEarlierLeases (): void {
    this.#areEarlierWorkersKnown = false
  }

  /** Limits the leases of a worker that earlier owners used to what is recorded, and to what their last call can have set. */
  limitLeases (worker: WorkerRecord, { overAt, inheritedOverAt }: RecordedLease, now: Instant): void {
    const expiresAt = brand<Instant>(Math.min(overAt ?? Infinity, this.#earlierLeasesExpireAt))
    const inheritedExpiresAt = inheritedOverAt === undefined ? undefined : brand<Instant>(Math.min(inheritedOverAt, this.#inheritedLeasesExpireAt))
    worker.restoreLeases(expiresAt, inheritedExpiresAt, this.#earlierTermOverAt, now)
  }

  /** Checks the workers unless all runs are known already, and returns whether they are. */
  update (workers: ReadonlyMap<WorkerId, WorkerRecord>, now: Instant): boolean {
    this.#isDone ||= this.#areAllKnown(workers.values(), now)
    if (this.#isDone) this.tasks.clear()
    else this.tasks.update(workers, now)
    return this.#isDone
  }

  /** The steps with tasks that may start in this pass, which `tasks.close` ends. */
  startableSteps (steps: ReadonlySet<StepRecord>): Iterable<StepRecord> {
    return this.#isDone ? steps : this.tasks.open(steps)
  }

  #areAllKnown (workers: Iterable<WorkerRecord>, now: Instant): boolean {
    const areEarlierLeasesOver = now >= this.#earlierLeasesExpireAt
    if (!this.#areEarlierWorkersKnown && now < this.#inheritedLeasesExpireAt) return false
    for (const worker of workers) {
      // This owner may have extended the lease since, so the ends are lost only with that lease.
      if (worker.mayReportMoreEnds(now)) return false
      if (!worker.hasReported && now < (areEarlierLeasesOver ? worker.inheritedLease.expiresAt : worker.leaseExpiresAt)) return false
    }
    return true
  }
}
