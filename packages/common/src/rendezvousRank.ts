/**
 * Rendezvous hashing: every process ranks the same candidates in the same order.
 */

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

const hashText = (text: string): number => {
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
 * `candidates` in order of preference for `key`, best first.
 *
 * @example
 * const [owner] = rendezvousRank('cell-1', liveMembers)
 */
export const rendezvousRank = <Candidate extends string>(key: string, candidates: Iterable<Candidate>): Candidate[] => {
  const scored: Array<{ candidate: Candidate, score: number }> = []
  for (const candidate of candidates) scored.push({ candidate, score: hashText(`${candidate}\u0000${key}`) })
  scored.sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
  return scored.map(entry => entry.candidate)
}
