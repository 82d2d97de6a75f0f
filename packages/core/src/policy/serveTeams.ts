/**
 * One pass over the batch lanes by dominant-resource fair share.
 */
import type { Instant, TeamName } from '@auburnpin/common'
import { AGING_MS, MAX_AGING_SHARE } from '../constants.ts'
import { BinaryHeap } from './BinaryHeap.ts'
import type { Attempted, Lane, Turn } from './Lane.ts'

type Contender = Readonly<{ team: TeamName, turn: Turn, rank: number }>

/** What the pass asks about a team. */
export type ShareOf = (team: TeamName) => number

/**
 * Serves the team with the smallest dominant share first, one task at a time, until nobody can place
 * any more or `limit` is reached. Waiting lowers a team's rank, so none starves. Returns how many
 * tasks were placed.
 */
export const serveTeams = (lanes: ReadonlyMap<TeamName, Lane>, shareOf: ShareOf, attempt: Attempted, limit: number, now: Instant): number => {
  const contenders = new BinaryHeap<Contender>((left, right) => left.rank < right.rank)
  for (const [team, lane] of lanes) {
    if (lane.size === 0) continue
    const turn = lane.takeTurn()
    contenders.push({ team, turn, rank: rankOf(shareOf(team), turn, now) })
  }
  let placed = 0
  while (placed < limit) {
    const next = contenders.pop()
    if (next === undefined) break
    if (!next.turn.placeOne(attempt)) continue
    placed++
    contenders.push({ ...next, rank: rankOf(shareOf(next.team), next.turn, now) })
  }
  return placed
}

const rankOf = (share: number, turn: Turn, now: Instant): number => {
  const waitedMs = now - (turn.oldestSince ?? now)
  return share - MAX_AGING_SHARE * Math.min(1, waitedMs / AGING_MS)
}
