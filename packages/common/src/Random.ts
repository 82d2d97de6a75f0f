/**
 * The port through which chance enters the program.
 */

/** Source of chance; tests pass a seeded one. */
export abstract class Random {
  /** A number from 0 up to but not including 1. */
  abstract fraction (): number

  /** A whole number from 0 up to but not including `limit`. */
  below (limit: number): number {
    return Math.floor(this.fraction() * limit)
  }

  /**
   * An id of `length` characters out of 32, 5 bits each.
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
