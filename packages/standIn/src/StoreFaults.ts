/**
 * Faults of the store that a test or a demo can switch on.
 */

/** What is wrong with the store at present. */
export type StoreFault =
  | Readonly<{ kind: 'none' }>
  /** Every call is cut without effect. */
  | Readonly<{ kind: 'down' }>
  /** Every answer takes this long, in milliseconds. */
  | Readonly<{ kind: 'slow', delayMs: number }>
  /** Every `every`th call is cut without effect. */
  | Readonly<{ kind: 'failing', every: number }>
  /** Every `every`th write takes effect and its answer is lost. */
  | Readonly<{ kind: 'losing-answers', every: number }>

/** What shall happen to one call. */
export type CallFate = 'answer' | 'drop-before' | 'drop-after'

/** Decides each call's fate by counting, so that runs repeat. */
export class StoreFaults {
  #fault: StoreFault = { kind: 'none' }
  #calls = 0

  set (fault: StoreFault): void {
    this.#fault = fault
    this.#calls = 0
  }

  /** Delay of each answer, in milliseconds. */
  get delayMs (): number {
    return this.#fault.kind === 'slow' ? this.#fault.delayMs : 0
  }

  next (isWrite: boolean): CallFate {
    const fault = this.#fault
    if (fault.kind === 'down') return 'drop-before'
    if (fault.kind === 'failing' && ++this.#calls % fault.every === 0) return 'drop-before'
    if (fault.kind === 'losing-answers' && isWrite && ++this.#calls % fault.every === 0) return 'drop-after'
    return 'answer'
  }
}
