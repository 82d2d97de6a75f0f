/**
 * The data centres that an operator has evacuated, as this process knows them.
 */
import type { Clock, Instant } from '@auburnpin/common'

/** No task is started on the workers of an evacuated data centre. */
export abstract class EvacuationList {
  /** Whether the list has been read at least once; no owner starts a task before. */
  abstract get isKnown (): boolean

  abstract has (dataCentre: string): boolean

  /** All evacuated data centres, also those without workers. */
  abstract get dataCentres (): ReadonlySet<string>

  /** When this process learnt that a data centre is no longer evacuated, and which; only the latest time of each. */
  abstract get restorations (): ReadonlyMap<string, Instant>
}

/**
 * The list as a follower of the store's rows maintains it. It stays in effect while the store is unavailable.
 *
 * @example
 * const evacuations = new KnownEvacuations(clock)
 * evacuations.replaceAll(['derby'])
 * evacuations.update([], ['derby'])
 */
export class KnownEvacuations extends EvacuationList {
  readonly #clock: Clock
  #dataCentres: ReadonlySet<string> = new Set()
  readonly #restorations = new Map<string, Instant>()
  #isKnown = false

  constructor (clock: Clock) {
    super()
    this.#clock = clock
  }

  get isKnown (): boolean {
    return this.#isKnown
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
    this.#isKnown = true
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
