/**
 * Runs of one task under which workers were lost.
 */
import type { Attempt } from '@auburnpin/common'

// Most tasks crash no worker, so they share one list.
const NONE: readonly Attempt[] = []

/**
 * The attempt numbers of the runs that were lost with their workers just after their start, since the task last survived
 * a start. An attempt can also be announced before its order is sent: it is stored with the others, so that the next owner
 * counts it unless a worker reports it.
 *
 * @example
 * task.crashes.add(run.attempt)
 * task.crashes.count // 1
 */
export class TaskCrashes {
  #attempts = NONE
  #announced: Attempt | undefined
  #beingStored = NONE
  #stored = NONE
  #hasSurvived = false
  /** Whether the task waits until it is certain that the last worker was lost. */
  areUncertain = false

  /** Number of workers that were lost. */
  get count (): number {
    return this.#attempts.length
  }

  /** Counts a lost run; returns `false` if it was counted before. */
  add (attempt: Attempt): boolean {
    if (this.#attempts.includes(attempt)) return false
    this.#attempts = [...this.#attempts, attempt]
    return true
  }

  /** The worker was not lost; returns whether the run had been counted. */
  withdraw (attempt: Attempt): boolean {
    if (!this.#attempts.includes(attempt)) return false
    this.#attempts = this.#attempts.filter(other => other !== attempt)
    return true
  }

  /** The task has survived a start; returns whether anything was counted or announced. */
  clear (): boolean {
    const hadAny = this.toStore.length > 0
    this.#hasSurvived = true
    this.areUncertain = false
    this.#attempts = NONE
    this.#announced = undefined
    return hadAny
  }

  /** Whether the task has survived a start during this term. */
  get hasSurvived (): boolean {
    return this.#hasSurvived
  }

  /** The next attempt is to be stored before it is ordered. */
  announce (attempt: Attempt): void {
    this.#announced = attempt
  }

  /** The announced attempt has ended, or was not ordered; returns whether it was this one. */
  endAnnouncement (attempt: Attempt): boolean {
    if (this.#announced !== attempt) return false
    this.#announced = undefined
    return true
  }

  isAnnounced (attempt: Attempt): boolean {
    return this.#announced === attempt
  }

  isStored (attempt: Attempt): boolean {
    return this.#stored.includes(attempt)
  }

  /** The attempts that a later owner has to count. */
  get toStore (): readonly Attempt[] {
    return this.#announced === undefined || this.#attempts.includes(this.#announced) ? this.#attempts : [...this.#attempts, this.#announced]
  }

  /** `toStore` is about to be stored. */
  startStoring (): void {
    this.#beingStored = this.toStore
  }

  /** What the last `startStoring` found is durable. */
  markStored (): void {
    this.#stored = this.#beingStored
  }

  /** Continues with what an earlier owner stored. */
  restore (attempts: readonly Attempt[]): void {
    this.#attempts = attempts
  }
}
