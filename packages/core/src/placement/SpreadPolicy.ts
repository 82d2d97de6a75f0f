/**
 * Spreads replicas over VMs and packs batch tasks.
 */
import type { TaskSpec } from '../cell/types.ts'
import { PlacementPolicy, type Candidate } from './PlacementPolicy.ts'

// Outweighs any difference in free processors, so that a second replica goes to another VM where one fits.
const SIBLING_COST = 1_000

/** Replicas go to the VM with the fewest replicas of their service, batch tasks to the one with the least free capacity. */
export class SpreadPolicy extends PlacementPolicy {
  select (task: TaskSpec, candidates: readonly Candidate[]): Candidate {
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
  if (task.service === undefined) return free.processors + (task.resources.accelerators === 0 ? free.accelerators * SIBLING_COST : 0)
  const siblings = tasks.filter(other => other.service === task.service).length
  return siblings * SIBLING_COST - free.processors
}
