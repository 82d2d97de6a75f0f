/**
 * The data centres that an operator has evacuated, as this process knows them.
 */
import type { Clock, Instant } from '@auburnpin/common'
import { MAX_EVACUATIONS_AGE_MS } from './constants.ts'

/** No task is started on the workers of an evacuated data centre. */
export abstract class EvacuationList {
  /** Whether the list has been read, and confirmed a short time ago; no owner starts a task otherwise. */
  abstract get isKnown (): boolean

  abstract has (dataCentre: string): boolean

  /** All evacuated data centres, also those without workers. */
  abstract get dataCentres (): ReadonlySet<string>

  /** When this process learnt that a data centre is no longer evacuated, and which; only the latest time of each. */
  abstract get restorations (): ReadonlyMap<string, Instant>
}

/**
 * The list as a follower of the store's rows maintains it. It stays in effect for `MAX_EVACUATIONS_AGE_MS` while the
 * follower gets no response: an owner keeps its term if only this table can't be read, and may have missed a row.
 *
 * @example
 * const evacuations = new KnownEvacuations(clock, () => follower.currentAt)
 * evacuations.replaceAll(['derby'])
 * evacuations.update([], ['derby'])
 */
export class KnownEvacuations extends EvacuationList {
  readonly #clock: Clock
  #dataCentres: ReadonlySet<string> = new Set()
  readonly #restorations = new Map<string, Instant>()
  readonly #confirmedAt: () => Instant | undefined
  #isRead = false

  /** `confirmedAt`: as of when the follower is up to date. */
  constructor (clock: Clock, confirmedAt: () => Instant | undefined) {
    super()
    this.#clock = clock
    this.#confirmedAt = confirmedAt
  }

  get isKnown (): boolean {
    return this.#isRead && this.#clock.now() - (this.#confirmedAt() ?? -Infinity) <= MAX_EVACUATIONS_AGE_MS
  }

  has (dataCentre: string): boolean {
    return this.#dataCentres.has(dataCentre)
  }

  get dataCentres (): ReadonlySet<string> {
    return this.#dataCentres
  }

  get restorations (): ReadonlyMap<string, Instant> {
    return this.#restorations
  }

  /** Applies the whole list. */
  replaceAll (dataCentres: Iterable<string>): void {
    const before = this.#dataCentres
    this.#dataCentres = new Set(dataCentres)
    this.#isRead = true
    const now = this.#clock.now()
    for (const dataCentre of before) if (!this.#dataCentres.has(dataCentre)) this.#restorations.set(dataCentre, now)
    for (const dataCentre of this.#dataCentres) this.#restorations.delete(dataCentre)
  }

  /** Applies a change of the list; data centres that are not mentioned stay as they are. */
  update (evacuated: Iterable<string>, restored: Iterable<string>): void {
    const removed = new Set(restored)
    this.replaceAll([...[...this.#dataCentres].filter(dataCentre => !removed.has(dataCentre)), ...evacuated])
  }
}
