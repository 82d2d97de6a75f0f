/**
 * The promises that the program checks about itself while it runs.
 */
import { AuburnpinError } from './errors.ts'

/** The promises of the product, by the name under which a breach is counted. */
export const PROMISES = [
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

/** One of the product's promises. */
export type Promised = typeof PROMISES[number]

/** A broken promise, found before its effect went out. */
export class InvariantError extends AuburnpinError {
  readonly #promised: Promised

  constructor (promised: Promised, detail: string) {
    super('invariant', `Promise "${promised}" would be broken: ${detail}`, 'Report this as a bug with the log around it; the action was refused.')
    this.#promised = promised
  }

  get promised (): Promised {
    return this.#promised
  }
}

/** Counts broken promises of one process. */
export class InvariantCounter {
  readonly #counts = new Map<Promised, number>()

  /** Notes one breach. */
  record (error: InvariantError): void {
    const before = this.#counts.get(error.promised) ?? 0
    this.#counts.set(error.promised, before + 1)
  }

  /** All breaches so far. */
  get total (): number {
    let total = 0
    for (const count of this.#counts.values()) total += count
    return total
  }
}

/**
 * Throws an `InvariantError` unless the promise holds.
 *
 * @example
 * assertPromise(fitsWithin(wanted, free), 'vm-never-overcommitted', `VM ${vm}`)
 */
export const assertPromise = (holds: boolean, promised: Promised, detail: string): void => {
  if (!holds) throw new InvariantError(promised, detail)
}
