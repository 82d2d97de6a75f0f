/**
 * One placement pass over the waiting tasks, without indexes.
 */
import { brand, fitsWithin, type Attempt, type Instant, type Resources } from '@auburnpin/common'
import { MAX_STARTS_PER_PASS } from '../constants.ts'
import type { Candidate, PlacementPolicy } from '../placement/PlacementPolicy.ts'
import type { CellState } from '../cell/CellState.ts'
import type { Task, TaskSpec, Transition, Vm } from '../cell/types.ts'

/** Starts tasks and marks those that fit on no VM as unrunnable; applies each transition to the state. */
export const placeWaiting = (state: CellState, policy: PlacementPolicy, now: Instant): Transition[] => {
  const usable = [...state.vms.values()].filter(vm => vm.session !== undefined && !vm.isLeaving && vm.isEvacuated !== true)
  const transitions: Transition[] = []
  if (usable.length === 0) return transitions
  for (const task of inPriorityOrder(state)) {
    if (transitions.length >= MAX_STARTS_PER_PASS) break
    const transition = placeOne(state, policy, usable, task)
    if (transition === undefined) continue
    state.apply(transition, now)
    transitions.push(transition)
  }
  return transitions
}

const placeOne = (state: CellState, policy: PlacementPolicy, usable: readonly Vm[], task: Task): Transition | undefined => {
  const wanted = task.spec.resources
  if (!usable.some(vm => fitsWithin(wanted, vm.resources))) {
    return { kind: 'unrunnable', task: task.spec.id, reason: { kind: 'too-large', largest: largestOf(usable) } }
  }
  const candidates: Candidate[] = []
  for (const vm of usable) {
    const free = state.freeOn(vm)
    if (fitsWithin(wanted, free)) candidates.push({ vm, free, tasks: specsOn(state, vm) })
  }
  if (candidates.length === 0) return undefined
  const { vm } = policy.select(task.spec, candidates)
  if (vm.session === undefined) return undefined
  const attempt = brand<Attempt>(task.attempt + 1)
  return { kind: 'assigned', task: task.spec.id, attempt, vm: vm.id, session: vm.session }
}

const specsOn = (state: CellState, vm: Vm): TaskSpec[] => {
  const specs: TaskSpec[] = []
  for (const id of state.placedOn(vm.id)) specs.push((state.tasks.get(id) as Task).spec)
  return specs
}

const largestOf = (vms: readonly Vm[]): Resources => {
  const largest = { processors: 0, memoryMb: 0, accelerators: 0 }
  for (const { resources } of vms) {
    largest.processors = Math.max(largest.processors, resources.processors)
    largest.memoryMb = Math.max(largest.memoryMb, resources.memoryMb)
    largest.accelerators = Math.max(largest.accelerators, resources.accelerators)
  }
  return largest
}

const inPriorityOrder = (state: CellState): Task[] => {
  const tasks = [...state.waiting].map(id => state.tasks.get(id) as Task)
  return tasks.sort((left, right) => rankOf(left.spec) - rankOf(right.spec) || left.spec.acceptedAt - right.spec.acceptedAt)
}

const rankOf = (spec: TaskSpec): number => {
  if (spec.isUrgent) return 0
  if (spec.kind === 'replica') return 1
  return spec.kind === 'watch' ? 2 : 3
}
