/**
 * Evicts batch work so that urgent work, replicas and watches can start.
 */
import { addResources, fitsWithin, type Instant, type Random, type TaskId, type VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import { stopAction } from '../cell/reconcileReport.ts'
import type { CellAction, Placement, Task, Transition, Vm } from '../cell/types.ts'
import { CLEARING_CANDIDATES, CLEARING_TIMEOUT_MS } from '../constants.ts'
import { isEvictable, isStopping, tasksOn, type Rooms } from '../placement/Rooms.ts'
import type { Relief } from './Policy.ts'

type Pass = Readonly<{ state: CellState, rooms: Rooms, chosen: ReadonlySet<TaskId> }>
type Clearing = Readonly<{ vm: Vm, victims: readonly Task[], cost: number }>

/**
 * Chooses a VM for each task and the victims there, and keeps the room for it. A VM whose worker has
 * not made room in time is given up for another.
 */
export const clearRoom = (state: CellState, rooms: Rooms, tasks: readonly Task[], random: Random, now: Instant): Relief => {
  const transitions: Transition[] = []
  const actions: CellAction[] = []
  const chosen = new Set<TaskId>()
  for (const task of tasks) {
    const reservation = rooms.reservationOf(task.spec.id)
    if (reservation !== undefined && now - reservation.madeAt < CLEARING_TIMEOUT_MS) continue
    const clearing = cheapestClearing({ state, rooms, chosen }, task, random.fraction(), reservation?.vm)
    if (clearing === undefined) continue
    const { vm, victims } = clearing
    rooms.reserve({ task: task.spec.id, vm: vm.id, resources: task.spec.resources, madeAt: now })
    for (const victim of victims) {
      const stopping = { kind: 'stopping', task: victim.spec.id, attempt: victim.attempt, reason: { kind: 'evicted-for', task: task.spec.id } } as const
      chosen.add(victim.spec.id)
      transitions.push(stopping)
      actions.push(stopAction(vm, victim, victim.placement as Placement))
    }
    rooms.refresh(state, now)
  }
  return { transitions, actions }
}

const cheapestClearing = (pass: Pass, task: Task, start: number, except: VmId | undefined): Clearing | undefined => {
  let best: Clearing | undefined
  for (const id of pass.rooms.evictable.find(task.spec.resources, CLEARING_CANDIDATES, start)) {
    if (id === except) continue
    const clearing = clearingOn(pass, task, pass.state.vms.get(id) as Vm)
    if (clearing !== undefined && (best === undefined || clearing.cost < best.cost)) best = clearing
  }
  return best
}

// Least evicted and latest started go first; those that turn out not to be needed stay.
const clearingOn = ({ state, rooms, chosen }: Pass, task: Task, vm: Vm): Clearing | undefined => {
  const wanted = task.spec.resources
  let room = rooms.unreservedOn(state, vm)
  const order: Task[] = []
  for (const other of tasksOn(state, vm.id)) {
    const isGoing = isStopping(other) || chosen.has(other.spec.id)
    if (isGoing) room = addResources(room, other.spec.resources)
    else if (isEvictable(other)) order.push(other)
  }
  order.sort((left, right) => left.evictions - right.evictions || sinceOf(right) - sinceOf(left))
  const victims: Task[] = []
  for (const victim of order) {
    if (fitsWithin(wanted, room)) break
    victims.push(victim)
    room = addResources(room, victim.spec.resources)
  }
  if (!fitsWithin(wanted, room)) return undefined
  let cost = 0
  for (const victim of victims) cost += 1 + victim.evictions
  return { vm, victims, cost }
}

const sinceOf = (task: Task): number => task.placement?.since ?? 0
