/**
 * Invariants of the product that are checked at run time.
 */
import { AuburnpinError } from './errors.ts'

/** Names of the invariants, under which violations are counted. */
export const INVARIANTS = [
  'vm-never-overcommitted',
  'task-never-in-two-places',
  'evicted-work-resumes-once',
  'answer-whole-and-own',
  'not-run-means-not-run',
  'non-idempotent-at-most-once',
  'leaving-endpoint-gets-nothing-new',
  'planned-stop-cuts-nothing',
  'configuration-never-reverts'
] as const

/** One of the invariants. */
export type Invariant = typeof INVARIANTS[number]

/** A violated invariant, detected before the action took effect. */
export class InvariantError extends AuburnpinError {
  readonly #invariant: Invariant

  constructor (invariant: Invariant, detail: string) {
    super('invariant', `Promise "${invariant}" would be broken: ${detail}`, 'Report this as a bug with the log around it; the action was refused.')
    this.#invariant = invariant
  }

  get invariant (): Invariant {
    return this.#invariant
  }
}

/** Counts the violations in one process. */
export class InvariantCounter {
  readonly #counts = new Map<Invariant, number>()

  /** Counts one violation. */
  record (error: InvariantError): void {
    const before = this.#counts.get(error.invariant) ?? 0
    this.#counts.set(error.invariant, before + 1)
  }

  /** All violations so far. */
  get total (): number {
    let total = 0
    for (const count of this.#counts.values()) total += count
    return total
  }
}

/**
 * Throws an `InvariantError` unless the invariant holds.
 *
 * @example
 * assertInvariant(fitsWithin(wanted, free), 'vm-never-overcommitted', `VM ${vm}`)
 */
export const assertInvariant = (holds: boolean, invariant: Invariant, detail: string): void => {
  if (!holds) throw new InvariantError(invariant, detail)
}
