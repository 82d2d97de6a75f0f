/**
 * A fraction derived from a text.
 */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
const RANGE = 2 ** 32

/**
 * Hashes a text and a purpose to [0, 1), the same in every process (FNV-1a with a final mix, as ids may differ in their last digits only).
 *
 * @example
 * fractionOf(job.id, 'share') // 0.731
 */
export const fractionOf = (text: string, purpose: string): number => {
  let hash = FNV_OFFSET
  for (const character of `${purpose}:${text}`) hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / RANGE
}
