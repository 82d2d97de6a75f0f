/**
 * Runs of one task under which workers were lost.
 */
import type { Attempt } from '@auburnpin/common'
import type { SuspectedRun, WorkerIncarnation } from './types.ts'

type LostRun = Readonly<{ attempt: Attempt, worker?: WorkerIncarnation }>

// Most tasks crash no worker, so they share one list.
const NONE: readonly LostRun[] = []

/**
 * The attempt numbers of the runs that were lost with their workers just after their start, since the task last survived
 * a start. An attempt can also be announced before its order is sent: it is stored with the others, so that the next owner
 * counts it unless its worker turns out to be alive.
 *
 * @example
 * task.crashes.add(run.attempt, run.worker.entry)
 * task.crashes.count // 1
 */
export class TaskCrashes {
  #lost = NONE
  #announced: LostRun | undefined
  #beingStored = NONE
  #stored = NONE
  #hasSurvived = false
  /** Whether the task waits until it is certain that the last worker was lost. */
  areUncertain = false

  /** Number of workers that were lost. */
  get count (): number {
    return this.#lost.length
  }

  /** Counts a run that was lost with this worker, if it is known; returns `false` if it was counted before. */
  add (attempt: Attempt, worker?: WorkerIncarnation): boolean {
    if (includes(this.#lost, attempt)) return false
    this.#lost = [...this.#lost, lostRun(attempt, worker)]
    return true
  }

  /** The worker was not lost; returns whether the run had been counted. */
  withdraw (attempt: Attempt): boolean {
    if (!includes(this.#lost, attempt)) return false
    this.#lost = this.#lost.filter(other => other.attempt !== attempt)
    return true
  }

  /** The task has survived a start; returns whether anything was counted or announced. */
  clear (): boolean {
    const hadAny = this.#toStore.length > 0
    this.#hasSurvived = true
    this.areUncertain = false
    this.#lost = NONE
    this.#announced = undefined
    return hadAny
  }

  /** Whether the task has survived a start during this term. */
  get hasSurvived (): boolean {
    return this.#hasSurvived
  }

  /** The next attempt, on this worker, is to be stored before it is ordered. */
  announce (attempt: Attempt, worker: WorkerIncarnation): void {
    this.#announced = lostRun(attempt, worker)
  }

  /** The announced attempt has ended, or was not ordered; returns whether it was this one. */
  endAnnouncement (attempt: Attempt): boolean {
    if (!this.isAnnounced(attempt)) return false
    this.#announced = undefined
    return true
  }

  isAnnounced (attempt: Attempt): boolean {
    return this.#announced?.attempt === attempt
  }

  isStored (attempt: Attempt): boolean {
    return includes(this.#stored, attempt)
  }

  get #toStore (): readonly LostRun[] {
    return this.#announced === undefined || includes(this.#lost, this.#announced.attempt) ? this.#lost : [...this.#lost, this.#announced]
  }

  /** The attempts that a later owner has to count. */
  get toStore (): readonly Attempt[] {
    return this.#toStore.map(({ attempt }) => attempt)
  }

  /** Those of them whose workers are known. */
  get runsToStore (): readonly SuspectedRun[] {
    return this.#toStore.flatMap(({ attempt, worker }) => worker === undefined ? [] : [{ attempt, worker }])
  }

  /** `toStore` is about to be stored. */
  startStoring (): void {
    this.#beingStored = this.#toStore
  }

  /** What the last `startStoring` found is durable. */
  markStored (): void {
    this.#stored = this.#beingStored
  }

  /** Continues with the attempts that an earlier owner stored, and the runs whose workers it knew. */
  restore (attempts: readonly Attempt[], runs: readonly SuspectedRun[] = []): void {
    this.#lost = attempts.map(attempt => lostRun(attempt, runs.find(run => run.attempt === attempt)?.worker))
  }
}

const lostRun = (attempt: Attempt, worker: WorkerIncarnation | undefined): LostRun =>
  worker === undefined ? { attempt } : { attempt, worker: { id: worker.id, incarnation: worker.incarnation } }

const includes = (runs: readonly LostRun[], attempt: Attempt): boolean => runs.some(run => run.attempt === attempt)
