/**
 * One placement pass over the teams' batch queues by dominant resource fairness.
 */
import type { Instant, TeamName } from '@auburnpin/common'
import { AGING_MS, MAX_AGING_SHARE } from '../constants.ts'
import { BinaryHeap } from './BinaryHeap.ts'
import type { TaskQueue, QueuePass, TryPlace } from './TaskQueue.ts'

type TeamPass = Readonly<{ team: TeamName, pass: QueuePass, rank: number }>

/** Dominant share of a team at present. */
export type ShareOf = (team: TeamName) => number

/**
 * Places one task at a time of the team with the smallest dominant share, until no team can place another
 * or `limit` is reached. A team's rank decreases while its oldest task waits, so none starves. Returns the number of
 * tasks placed.
 */
export const placeByFairShare = (queues: ReadonlyMap<TeamName, TaskQueue>, shareOf: ShareOf, tryPlace: TryPlace, limit: number, now: Instant): number => {
  const passes = new BinaryHeap<TeamPass>((left, right) => left.rank < right.rank)
  for (const [team, queue] of queues) {
    if (queue.size === 0) continue
    const pass = queue.startPass()
    passes.push({ team, pass, rank: rankOf(shareOf(team), pass, now) })
  }
  let placed = 0
  while (placed < limit) {
    const next = passes.pop()
    if (next === undefined) break
    if (!next.pass.placeOne(tryPlace)) continue
    placed++
    passes.push({ ...next, rank: rankOf(shareOf(next.team), next.pass, now) })
  }
  return placed
}

const rankOf = (share: number, pass: QueuePass, now: Instant): number => {
  const waitedMs = now - (pass.oldestWaitingSince ?? now)
  return share - MAX_AGING_SHARE * Math.min(1, waitedMs / AGING_MS)
}
