/**
 * Why a task waits, is placed where it is, or is throttled.
 */
import type { ServiceName } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Task, TaskReason } from '../cell/types.ts'
import { tasksOn } from '../placement/VmCapacity.ts'
import type { VmSelector } from '../placement/VmSelector.ts'
import type { InterferenceMitigation } from '../mitigation/InterferenceMitigation.ts'
import type { StateIndexes } from './StateIndexes.ts'

/** State of the policy from which the reason is derived. */
export type ReasonSources = Readonly<{ indexes: StateIndexes, selector: VmSelector, mitigation: InterferenceMitigation }>

/** The current reason of a queued or placed task; of any other task the recorded one, if there is one. */
export const findTaskReason = (state: CellState, task: Task, sources: ReasonSources): TaskReason | undefined => {
  if (task.state === 'queued') return findWaitingReason(state, task, sources)
  if (task.placement === undefined) return task.reason
  const { vm, throttle } = task.placement
  const service = sources.mitigation.throttledFor(task.spec.id)
  if (service !== undefined && throttle !== undefined && throttle < 1) return { kind: 'throttled-for', service, share: throttle }
  const services = new Set<ServiceName>()
  for (const { spec } of tasksOn(state, vm)) if (spec.service !== undefined) services.add(spec.service)
  return { kind: 'placed', vm, servicesOnVm: [...services] }
}

const findWaitingReason = (state: CellState, task: Task, { indexes, selector }: ReasonSources): TaskReason => {
  const { capacity, usage } = indexes
  const { team, resources, isUrgent, kind } = task.spec
  const quota = usage.quotaOf(team)
  const reservation = capacity.reservationOf(task.spec.id)
  if (capacity.free.size === 0) return findClosedReason(state)
  if (reservation !== undefined) return { kind: 'waiting-for-eviction', vm: reservation.vm }
  if (kind === 'batch' && quota !== undefined && !usage.isWithinQuota(team, resources, isUrgent)) return { kind: 'over-quota', team, quota }
  const { wouldSlow } = selector.select(state, task, { mustPlace: false, isTrialShared: false })
  return wouldSlow === undefined ? { kind: 'waiting-for-room' } : { kind: 'would-slow', service: wouldSlow }
}

// Without a VM that takes tasks, an evacuation is the reason even if the workers hold no lease either.
const findClosedReason = (state: CellState): TaskReason => {
  for (const { isEvacuated, dataCentre } of state.vms.values()) {
    if (isEvacuated === true) return { kind: 'data-centre-evacuated', dataCentre }
  }
  return { kind: 'waiting-for-workers' }
}
