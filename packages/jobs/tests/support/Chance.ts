/**
 * Choices of a story, from a seed.
 */
import { SeededRandom } from '@auburnpin/common'

/**
 * Draws amounts and picks; the same seed gives the same choices.
 *
 * @example
 * new Chance(7).pick(['killed', 'suspended'])
 */
export class Chance {
  readonly #random: SeededRandom

  constructor (seed: number) {
    this.#random = new SeededRandom(seed)
  }

  between (low: number, high: number): number {
    return low + (high - low) * this.#random.fraction()
  }

  /** A whole number from `low` to `high`, both included. */
  whole (low: number, high: number): number {
    return Math.floor(this.between(low, high + 1))
  }

  happens (probability: number): boolean {
    return this.#random.fraction() < probability
  }

  pick<Value> (values: readonly Value[]): Value {
    return values[Math.floor(this.#random.fraction() * values.length)] as Value
  }
}
