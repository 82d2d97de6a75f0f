/**
 * How many records of one kind may be written.
 */

const SECOND_MS = 1_000

type Second = { startedAt: number, written: number, leftOut: number }

/**
 * Lets so many records of each kind through in each second, and counts the others.
 *
 * @example
 * const budget = new LogBudget(100)
 * if (budget.take('Run ended', nowMs)) write()
 */
export class LogBudget {
  readonly #perSecond: number
  readonly #kinds = new Map<string, Second>()
  #total = 0

  constructor (perSecond: number) {
    this.#perSecond = perSecond
  }

  /** Records left out since the start. */
  get leftOut (): number {
    return this.#total
  }

  /** Whether the record may be written. */
  take (kind: string, nowMs: number): boolean {
    let second = this.#kinds.get(kind)
    if (second === undefined) this.#kinds.set(kind, second = { startedAt: nowMs, written: 0, leftOut: 0 })
    if (Math.abs(nowMs - second.startedAt) >= SECOND_MS) {
      second.startedAt = nowMs
      second.written = 0
    }
    if (second.written < this.#perSecond) {
      second.written++
      return true
    }
    second.leftOut++
    this.#total++
    return false
  }

  /** Records of the kind left out since the last call. */
  takeLeftOut (kind: string): number {
    const second = this.#kinds.get(kind)
    if (second === undefined) return 0
    const { leftOut } = second
    second.leftOut = 0
    return leftOut
  }
}
