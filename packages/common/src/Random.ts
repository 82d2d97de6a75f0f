/**
 * Port for random numbers.
 */

/** Source of random numbers; tests pass a seeded one. */
export abstract class Random {
  /** A uniformly distributed number in [0, 1). */
  abstract fraction (): number

  /** A uniformly distributed integer in [0, `limit`). */
  below (limit: number): number {
    return Math.floor(this.fraction() * limit)
  }

  /**
   * A random id of `length` characters; each is one of 32 and adds 5 bits.
   *
   * @example
   * random.id(12) // 'k3v0c9aa1mzq'
   */
  id (length: number): string {
    let text = ''
    for (let index = 0; index < length; index++) text += ID_ALPHABET.charAt(this.below(ID_ALPHABET.length))
    return text
  }
}

const ID_ALPHABET = '0123456789abcdefghjkmnpqrstvwxyz'
