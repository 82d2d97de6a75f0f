/**
 * Rendezvous hashing: every process ranks the same candidates in the same order.
 */
import { hashText } from './hashText.ts'

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
