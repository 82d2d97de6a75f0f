/**
 * A priority queue on a binary heap.
 */

/** Whether `left` is popped before `right`. */
export type GoesBefore<Item> = (left: Item, right: Item) => boolean

/**
 * `push` and `pop` take logarithmic time, `peek` constant time.
 *
 * @example
 * const heap = new BinaryHeap<number>((left, right) => left < right)
 */
export class BinaryHeap<Item> {
  readonly #items: Item[] = []
  readonly #goesBefore: GoesBefore<Item>

  constructor (goesBefore: GoesBefore<Item>) {
    this.#goesBefore = goesBefore
  }

  get size (): number {
    return this.#items.length
  }

  /** The first item, without removing it. */
  peek (): Item | undefined {
    return this.#items[0]
  }

  push (item: Item): void {
    const items = this.#items
    let index = items.length
    items.push(item)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.#goesBefore(item, items[parent] as Item)) break
      items[index] = items[parent] as Item
      index = parent
    }
    items[index] = item
  }

  /** Removes and returns the first item. */
  pop (): Item | undefined {
    const first = this.#items[0]
    const last = this.#items.pop()
    if (this.#items.length > 0 && last !== undefined) this.#sink(last)
    return first
  }

  #sink (item: Item): void {
    const items = this.#items
    let index = 0
    while (true) {
      let child = 2 * index + 1
      if (child >= items.length) break
      const right = child + 1
      if (right < items.length && this.#goesBefore(items[right] as Item, items[child] as Item)) child = right
      if (!this.#goesBefore(items[child] as Item, item)) break
      items[index] = items[child] as Item
      index = child
    }
    items[index] = item
  }
}
