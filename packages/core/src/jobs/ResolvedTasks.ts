/**
 * Tasks that may start after a takeover although other runs of earlier owners are still unknown.
 */
import type { Instant, WorkerId } from '@auburnpin/common'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { KnownRun } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * A task of an earlier job waits only for workers that may still run it. A task that a worker lists has no other run. A
 * long-running task whose last run is stored waits for the incarnation of the worker that had it. All others wait until
 * the runs of all earlier owners are known.
 *
 * @example
 * resolved.update(workers, now)
 * place(resolved.open(openSteps))
 * resolved.close()
 */
export class ResolvedTasks {
  readonly #tasks = new Map<StepRecord, Set<TaskRecord>>()
  /** Tasks whose last run is stored, by the worker that had it. */
  readonly #expected = new Map<WorkerId, Set<TaskRecord>>()
  /** Tasks that must not start in this pass. */
  readonly #withheld = new Map<StepRecord, readonly TaskRecord[]>()

  /** The tasks of these steps were restored from the progress of an earlier owner. */
  restore (steps: readonly StepRecord[]): void {
    for (const { tasks } of steps) {
      for (const task of tasks) {
        if (task.knownRun === undefined || task.isElsewhere) continue
        const { id } = task.knownRun.worker
        const ofWorker = this.#expected.get(id)
        if (ofWorker === undefined) this.#expected.set(id, new Set([task]))
        else ofWorker.add(task)
      }
    }
  }

  /** No run of the task is unknown. */
  add (task: TaskRecord): void {
    if (task.step.shape.isSpeculative) return
    const ofStep = this.#tasks.get(task.step)
    if (ofStep === undefined) this.#tasks.set(task.step, new Set([task]))
    else ofStep.add(task)
  }

  /** Adds the tasks whose last run has ended, as far as reports, later incarnations and leases show. */
  update (workers: ReadonlyMap<WorkerId, WorkerRecord>, now: Instant): void {
    this.close()
    for (const [id, tasks] of this.#expected) {
      const worker = workers.get(id)
      if (worker === undefined) continue
      for (const task of tasks) {
        if (task.knownRun !== undefined && mayStillRun(task.knownRun, worker, now)) continue
        tasks.delete(task)
        this.add(task)
      }
      if (tasks.size === 0) this.#expected.delete(id)
    }
  }

  /** The steps with tasks that may start now. Their other tasks are taken out of those that wait, until `close`. */
  open (steps: Iterable<StepRecord>): StepRecord[] {
    const startable: StepRecord[] = []
    for (const step of steps) {
      const resolved = this.#tasks.get(step)
      if (step.job.isNewInTerm) startable.push(step)
      else if (resolved !== undefined) {
        // Whether a task on trial has lost its last worker is known once all have been heard of.
        const withheld = [...step.waiting].filter(task => !resolved.has(task) || task.isOnTrial)
        for (const task of withheld) step.waiting.delete(task)
        this.#withheld.set(step, withheld)
        startable.push(step)
      }
    }
    return startable
  }

  /** Ends the pass. */
  close (): void {
    for (const [step, tasks] of this.#withheld) for (const task of tasks) step.queue(task)
    this.#withheld.clear()
  }

  /** All runs of earlier owners are known. */
  clear (): void {
    this.close()
    this.#tasks.clear()
    this.#expected.clear()
  }
}

// A run that was listed ends with its incarnation; an order to start one may still be carried out by the next.
const mayStillRun = ({ worker: { incarnation }, isListed }: KnownRun, { entry, hasReported, leaseExpiresAt }: WorkerRecord, now: Instant): boolean => {
  if (entry.incarnation < incarnation) return true
  return !(isListed && entry.incarnation > incarnation) && !hasReported && now < leaseExpiresAt
}
