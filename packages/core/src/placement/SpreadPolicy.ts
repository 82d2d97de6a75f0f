/**
 * Spreads replicas over VMs and racks, packs batch work.
 */
import type { TaskSpec } from '../cell/types.ts'
import { PlacementPolicy, type Candidate } from './PlacementPolicy.ts'

// A second replica of a service on one VM is worse than any difference in free room.
const SAME_SERVICE_COST = 1_000

/** Replicas go where fewest of their service are; batch work goes where least room is left over. */
export class SpreadPolicy extends PlacementPolicy {
  choose (task: TaskSpec, candidates: readonly Candidate[]): Candidate {
    let best = candidates[0] as Candidate
    let bestCost = Infinity
    for (const candidate of candidates) {
      const cost = costOf(task, candidate)
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }
}

const costOf = (task: TaskSpec, candidate: Candidate): number => {
  const { free, tasks } = candidate
  if (task.service === undefined) return free.processors + (task.resources.accelerators === 0 ? free.accelerators * SAME_SERVICE_COST : 0)
  const siblings = tasks.filter(other => other.service === task.service).length
  return siblings * SAME_SERVICE_COST - free.processors
}
