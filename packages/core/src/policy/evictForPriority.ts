/**
 * Evicts batch tasks so that urgent tasks, replicas and watches can start.
 */
import { addResources, fitsWithin, type Instant, type Random, type TaskId, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import { stopAction } from '../cell/reconcileReport.ts'
import type { CellAction, Placement, Task, Transition, Vm } from '../cell/types.ts'
import { EVICTION_CANDIDATES, RESERVATION_TIMEOUT_MS } from '../constants.ts'
import { isEvictable, isStopping, tasksOn, type VmCapacity } from '../placement/VmCapacity.ts'
import type { PolicyDecision } from './Policy.ts'

type PlanContext = Readonly<{ state: CellState, capacity: VmCapacity, victimsOfPass: ReadonlySet<TaskId> }>
type EvictionPlan = Readonly<{ vm: Vm, victims: readonly Task[], cost: number }>

/**
 * Selects a VM for each task and the victims on it, and reserves the capacity for the task. If the worker does
 * not stop the victims in time, another VM is selected.
 */
export const evictForPriority = (state: CellState, capacity: VmCapacity, tasks: readonly Task[], random: Random, now: Instant): PolicyDecision => {
  const transitions: Transition[] = []
  const actions: CellAction[] = []
  const victimsOfPass = new Set<TaskId>()
  for (const task of tasks) {
    const reservation = capacity.reservationOf(task.spec.id)
    if (reservation !== undefined && now - reservation.madeAt < RESERVATION_TIMEOUT_MS) continue
    const plan = cheapestPlan({ state, capacity, victimsOfPass }, task, random.fraction(), reservation?.vm)
    if (plan === undefined) continue
    const { vm, victims } = plan
    capacity.reserve({ task: task.spec.id, vm: vm.id, resources: task.spec.resources, madeAt: now })
    for (const victim of victims) {
      const stopping = { kind: 'stopping', task: victim.spec.id, attempt: victim.attempt, reason: { kind: 'evicted-for', task: task.spec.id } } as const
      victimsOfPass.add(victim.spec.id)
      transitions.push(stopping)
      actions.push(stopAction(vm, victim, victim.placement as Placement))
    }
    capacity.refresh(state, now)
  }
  return { transitions, actions }
}

const cheapestPlan = (context: PlanContext, task: Task, start: number, except: VmId | undefined): EvictionPlan | undefined => {
  let best: EvictionPlan | undefined
  for (const id of context.capacity.freeAfterEviction.find(task.spec.resources, EVICTION_CANDIDATES, start)) {
    if (id === except) continue
    const plan = planOn(context, task, context.state.vms.get(id) as Vm)
    if (plan !== undefined && (best === undefined || plan.cost < best.cost)) best = plan
  }
  return best
}

// Tasks with the fewest evictions go first, the latest started among them; no more are evicted than needed.
const planOn = ({ state, capacity, victimsOfPass }: PlanContext, task: Task, vm: Vm): EvictionPlan | undefined => {
  const wanted = task.spec.resources
  let available = capacity.unreservedOn(state, vm)
  const candidates: Task[] = []
  for (const other of tasksOn(state, vm.id)) {
    const isEnding = isStopping(other) || victimsOfPass.has(other.spec.id)
    if (isEnding) available = addResources(available, other.spec.resources)
    else if (isEvictable(other)) candidates.push(other)
  }
  candidates.sort((left, right) => left.evictions - right.evictions || placedAt(right) - placedAt(left))
  const victims: Task[] = []
  for (const victim of candidates) {
    if (fitsWithin(wanted, available)) break
    victims.push(victim)
    available = addResources(available, victim.spec.resources)
  }
  if (!fitsWithin(wanted, available)) return undefined
  let cost = 0
  for (const victim of victims) cost += 1 + victim.evictions
  return { vm, victims, cost }
}

const placedAt = (task: Task): number => task.placement?.since ?? 0
