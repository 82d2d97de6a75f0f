/**
 * Starts that wait until their attempts are stored.
 */
import type { Epoch, Instant } from '@auburnpin/common'
import type { RunRecord } from './TaskRecord.ts'
import { runKey } from './WorkerRecord.ts'

/** Runs whose orders may be sent now, and those whose orders must not be sent any more. */
export type SettledStarts = Readonly<{ due: readonly RunRecord[], obsolete: readonly RunRecord[] }>

/**
 * Holds runs back until the store names them, as a later owner has to count those that crash their workers, and to wait for those
 * of long-running tasks. They keep their capacity on the worker meanwhile.
 *
 * @example
 * announced.add(run)
 * for (const run of announced.take(now, 64).due) order(run)
 */
export class AnnouncedStarts {
  readonly #epoch: Epoch
  readonly #runs = new Set<RunRecord>()

  constructor (epoch: Epoch) {
    this.#epoch = epoch
  }

  /** Announces a run that was added to its worker; the job's progress must be stored. */
  add (run: RunRecord): void {
    run.task.crashes.announce(run.attempt, run.worker.entry)
    if (run.task.knownRun !== undefined) run.task.nextKnownRun = { attempt: run.attempt, worker: { id: run.worker.entry.id, incarnation: run.worker.entry.incarnation }, epoch: this.#epoch, isListed: false }
    this.#runs.add(run)
  }

  has (run: RunRecord): boolean {
    return this.#runs.has(run)
  }

  /** Removes the runs that need not wait any longer, at most `limit` of which are due. */
  take (now: Instant, limit: number): SettledStarts {
    const due: RunRecord[] = []
    const obsolete: RunRecord[] = []
    for (const run of this.#runs) {
      if (due.length >= limit) break
      const isWanted = mayStart(run, now)
      if (isWanted && !run.task.crashes.isStored(run.attempt)) continue
      this.#runs.delete(run)
      settleKnownRun(run, isWanted)
      if (isWanted) due.push(run)
      else if (run.task.runs.includes(run)) obsolete.push(run)
    }
    return { due, obsolete }
  }
}

// The order is about to be sent, or is not sent at all.
const settleKnownRun = ({ task, attempt }: RunRecord, isSent: boolean): void => {
  if (task.nextKnownRun?.attempt !== attempt) return
  if (isSent) task.knownRun = task.nextKnownRun
  task.nextKnownRun = undefined
}

const mayStart = ({ task, attempt, worker, isStopRequested }: RunRecord, now: Instant): boolean =>
  task.crashes.isAnnounced(attempt) && !isStopRequested && worker.runs.has(runKey(task.name, attempt)) && worker.acceptsRestarts(now)
