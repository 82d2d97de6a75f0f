/**
 * Normally distributed chance.
 */
import type { Random } from '@auburnpin/common'

/** A draw of mean 0 and deviation 1, by the method of Box and Muller. */
export const gaussian = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction())
