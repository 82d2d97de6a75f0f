/**
 * Hashes of texts, equal in every process.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * A 32-bit hash of a text, uniformly distributed.
 *
 * @example
 * hashText('w1') // an integer from 0 to 4_294_967_295
 */
export const hashText = (text: string): number => {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index)
    hash = Math.imul(hash, FNV_PRIME)
  }
  // FNV alone mixes the last characters poorly; this is the 32-bit finalizer of MurmurHash3.
  hash ^= hash >>> 16
  hash = Math.imul(hash, 0x85ebca6b)
  hash ^= hash >>> 13
  hash = Math.imul(hash, 0xc2b2ae35)
  hash ^= hash >>> 16
  return hash >>> 0
}

/**
 * A hash of a text as a fraction in [0, 1).
 *
 * @example
 * const delayMs = SPREAD_MS * hashFraction(worker)
 */
export const hashFraction = (text: string): number => hashText(text) / 2 ** 32
