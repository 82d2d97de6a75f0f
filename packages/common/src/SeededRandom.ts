/**
 * Reproducible random numbers from a seed.
 */
import { mersenne } from 'pure-rand/generator/mersenne'
import { Random } from './Random.ts'

const FRACTION_STEPS = 0x100000000

/**
 * Mersenne Twister: the same seed gives the same sequence.
 *
 * @example
 * const random = new SeededRandom(7)
 * random.fraction()
 */
export class SeededRandom extends Random {
  readonly #generator

  constructor (seed: number) {
    super()
    this.#generator = mersenne(seed)
  }

  fraction (): number {
    return (this.#generator.next() >>> 0) / FRACTION_STEPS
  }
}
