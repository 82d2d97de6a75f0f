/**
 * Which occurrences of a job are done.
 */

/**
 * Takes no memory for those before the first one that isn't done.
 *
 * @example
 * done.add(0)
 * done.firstOpen // 1
 */
export class DoneOccurrences {
  #firstOpen = 0
  readonly #later = new Set<number>()

  /** All occurrences before this one are done. */
  get firstOpen (): number {
    return this.#firstOpen
  }

  get count (): number {
    return this.#firstOpen + this.#later.size
  }

  has (occurrence: number): boolean {
    return occurrence < this.#firstOpen || this.#later.has(occurrence)
  }

  add (occurrence: number): void {
    if (this.has(occurrence)) return
    this.#later.add(occurrence)
    while (this.#later.delete(this.#firstOpen)) this.#firstOpen++
  }
}
