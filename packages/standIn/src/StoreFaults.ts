/**
 * Faults of the store that a test or a demo can inject.
 */

/** The fault in effect. */
export type StoreFault =
  | Readonly<{ kind: 'none' }>
  /** Every call is dropped before it is executed. */
  | Readonly<{ kind: 'down' }>
  /** Every call is delayed by `delayMs`. */
  | Readonly<{ kind: 'slow', delayMs: number }>
  /** Every `every`th call is dropped before it is executed. */
  | Readonly<{ kind: 'failing', every: number }>
  /** Every `every`th write is executed, and its response is lost. */
  | Readonly<{ kind: 'losing-answers', every: number }>

/** What happens to a call: it is answered, or dropped before or after it is executed. */
export type CallOutcome = 'answer' | 'drop-before' | 'drop-after'

/** Selects the calls to drop by counting them, so that test runs are reproducible. */
export class StoreFaults {
  #fault: StoreFault = { kind: 'none' }
  #calls = 0

  set (fault: StoreFault): void {
    this.#fault = fault
    this.#calls = 0
  }

  /** Delay of each call, in milliseconds. */
  get delayMs (): number {
    return this.#fault.kind === 'slow' ? this.#fault.delayMs : 0
  }

  outcomeOfNextCall (isWrite: boolean): CallOutcome {
    const fault = this.#fault
    if (fault.kind === 'down') return 'drop-before'
    if (fault.kind === 'failing' && ++this.#calls % fault.every === 0) return 'drop-before'
    if (fault.kind === 'losing-answers' && isWrite && ++this.#calls % fault.every === 0) return 'drop-after'
    return 'answer'
  }
}
