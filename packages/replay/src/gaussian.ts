/**
 * Normally distributed random numbers.
 */
import type { Random } from '@auburnpin/common'

/** Returns a sample with mean 0 and standard deviation 1, by the Box-Muller transform. */
export const gaussian = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random.fraction())) * Math.cos(2 * Math.PI * random.fraction())
