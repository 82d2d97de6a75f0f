/**
 * How many rows the next page of a read asks for.
 */

const FIRST_LIMIT = 100
const MIN_LIMIT = 4
/** The store returns at most this many rows. */
const MAX_LIMIT = 500
/** A page that took less than this leaves the link to other calls most of the time. */
const FAST_PAGE_MS = 100

/**
 * Adapts the size of pages to the link: a page that is small enough arrives whole even over a link that fails often.
 *
 * @example
 * const pageSize = new PageSize()
 * pageSize.pageFailed()
 * pageSize.limit // 50
 */
export class PageSize {
  #limit = FIRST_LIMIT

  /** Most rows of the next page. */
  get limit (): number {
    return this.#limit
  }

  /** A page has arrived after `tookMs` milliseconds. */
  pageArrived (tookMs: number): void {
    if (tookMs < FAST_PAGE_MS) this.#limit = Math.min(MAX_LIMIT, this.#limit * 2)
  }

  pageFailed (): void {
    this.#limit = Math.max(MIN_LIMIT, Math.floor(this.#limit / 2))
  }
}
