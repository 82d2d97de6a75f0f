/**
 * Checks that a replay makes independently of the cells.
 */
import { addResources, NO_RESOURCES, RESOURCE_DIMENSIONS, type Resources, type TaskId, type TeamName } from '@auburnpin/common'
import type { Configuration, Task } from '@auburnpin/core'
import type { FakeVm } from './FakeVm.ts'

/** Counts VMs whose running tasks exceed their processors, and tasks that run on more than one VM. */
export const countBrokenInvariants = (vms: Iterable<FakeVm>): number => {
  let broken = 0
  const running = new Set<TaskId>()
  for (const vm of vms) {
    if (vm.committedProcessors > vm.listed.resources.processors) broken++
    for (const id of vm.runningIds) {
      if (running.has(id)) broken++
      running.add(id)
    }
  }
  return broken
}

/** Largest share by which a team exceeds its quota in the whole region; 0 if no team does. */
export const quotaErrorOf = (tasks: readonly Task[], { teams }: Configuration): number => {
  const used = new Map<TeamName, Resources>()
  for (const { spec, placement } of tasks) {
    if (placement !== undefined) used.set(spec.team, addResources(used.get(spec.team) ?? NO_RESOURCES, spec.resources))
  }
  let error = 0
  for (const [team, resources] of used) {
    const quota = teams[team]?.value.quota
    if (quota === undefined) continue
    for (const dimension of RESOURCE_DIMENSIONS) {
      if (quota[dimension] > 0) error = Math.max(error, resources[dimension] / quota[dimension] - 1)
    }
  }
  return error
}
