/**
 * Replaces replicas make-before-break: the successor runs before the old replica is withdrawn.
 */
import { brand, type Epoch, type Instant, type TaskId } from '@auburnpin/common'
import { MAX_LEAVING_WAIT_MS, MAX_REPLACEMENT_WAIT_MS } from '../constants.ts'
import { isFinal, isGivenUp } from './applyTransition.ts'
import type { CellState } from './CellState.ts'
import type { Task, TaskSpec } from './types.ts'

/** Replicas to accept and to withdraw. */
export type Replacement = Readonly<{ accepted: readonly TaskSpec[], withdrawn: readonly TaskId[] }>

type Successor = Readonly<{ id: TaskId, since: Instant }>

/**
 * Keeps one replica for the slot of each declared replica. While a declaration changes or a VM leaves, a slot has
 * two tasks: the old replica and its successor.
 */
export class ReplicaReplacement {
  readonly #epoch: Epoch
  readonly #successors = new Map<TaskId, Successor>()
  #declared: readonly TaskSpec[] = []
  #replacementCount = 0

  constructor (epoch: Epoch) {
    this.#epoch = epoch
  }

  /** Sets the declared replicas. */
  setDeclared (specs: readonly TaskSpec[]): void {
    this.#declared = specs.filter(spec => spec.kind === 'replica')
  }

  /** Compares the existing replicas with the declared ones. */
  reconcile (state: CellState, now: Instant): Replacement {
    const bySlot = this.#replicasBySlot(state)
    const givenUp = givenUpBySlot(state)
    const accepted: TaskSpec[] = []
    const withdrawn: TaskId[] = []
    for (const spec of this.#declared) {
      const present = bySlot.get(spec.id) ?? []
      bySlot.delete(spec.id)
      const usable = present.filter(task => isUsable(state, task, spec))
      // Another replica of the same work would crash as many workers again.
      if (usable.length === 0 && givenUp.get(spec.id)?.some(other => isSameWork(other, spec)) === true) continue
      const kept = usable.find(task => task.placement?.isRunning) ?? usable[0]
      const next = kept?.spec ?? this.#replacementSpec(state, spec)
      if (kept === undefined) accepted.push(next)
      for (const task of present) {
        if (task === kept) continue
        if (task.placement === undefined) withdrawn.push(task.spec.id)
        else this.#setSuccessor(task.spec.id, next.id, now)
      }
    }
    for (const surplus of bySlot.values()) withdrawn.push(...surplus.map(task => task.spec.id))
    return { accepted, withdrawn }
  }

  /** Replicas to withdraw now: their successors run, or have found no free capacity in time. */
  dueWithdrawals (state: CellState, now: Instant): TaskId[] {
    const due: TaskId[] = []
    for (const [id, successor] of this.#successors) {
      const next = state.tasks.get(successor.id)
      const isRunning = next?.placement?.address !== undefined && next.placement.isRunning
      // A successor that has failed must not replace a working replica; one that was never placed may need its capacity.
      const hasFailed = next?.failures !== 0 || next.crashedOn !== undefined
      const isStuck = !isKeptByEvacuation(state, id) && now - successor.since >= successorTimeoutMs(state, id) && next?.placement === undefined && !hasFailed
      if (!isRunning && !isStuck) continue
      this.#successors.delete(id)
      due.push(id)
    }
    return due
  }

  #setSuccessor (id: TaskId, successor: TaskId, now: Instant): void {
    if (this.#successors.get(id)?.id !== successor) this.#successors.set(id, { id: successor, since: now })
  }

  #replicasBySlot (state: CellState): Map<TaskId, Task[]> {
    const bySlot = new Map<TaskId, Task[]>()
    for (const task of state.tasks.values()) {
      if (task.spec.kind !== 'replica' || task.isWithdrawn || isFinal(task)) continue
      const slot = task.spec.slot ?? task.spec.id
      bySlot.set(slot, [...bySlot.get(slot) ?? [], task])
    }
    return bySlot
  }

  // A worker never starts an id again once its attempts have ended, so each successor gets an id that no term has used before.
  #replacementSpec (state: CellState, spec: TaskSpec): TaskSpec {
    if (!state.tasks.has(spec.id)) return spec
    return { ...spec, id: brand<TaskId>(`${spec.id}~${this.#epoch}.${++this.#replacementCount}`), slot: spec.id }
  }
}

// In an evacuated data centre the successor can't start, so that the replica would be lost without a replacement.
const isKeptByEvacuation = (state: CellState, id: TaskId): boolean => {
  const placement = state.tasks.get(id)?.placement
  const vm = placement === undefined ? undefined : state.vms.get(placement.vm)
  return vm?.isEvacuated === true && !vm.isLeaving
}

// A replica on a leaving VM waits for a shorter time, as the VM leaves in any case.
const successorTimeoutMs = (state: CellState, id: TaskId): number => {
  const vm = state.tasks.get(id)?.placement?.vm
  const isLeaving = vm !== undefined && state.vms.get(vm)?.isLeaving === true
  return isLeaving ? MAX_LEAVING_WAIT_MS : MAX_REPLACEMENT_WAIT_MS
}

const givenUpBySlot = (state: CellState): Map<TaskId, TaskSpec[]> => {
  const bySlot = new Map<TaskId, TaskSpec[]>()
  for (const task of state.tasks.values()) {
    if (task.spec.kind !== 'replica' || !isGivenUp(task)) continue
    const slot = task.spec.slot ?? task.spec.id
    bySlot.set(slot, [...bySlot.get(slot) ?? [], task.spec])
  }
  return bySlot
}

const isUsable = (state: CellState, task: Task, spec: TaskSpec): boolean => {
  const vm = task.placement === undefined ? undefined : state.vms.get(task.placement.vm)
  return isSameWork(task.spec, spec) && vm?.isLeaving !== true && task.placement?.isStopping !== true
}

/** Whether two specs have the same kind, command and resources, so that a running task need not be restarted. */
export const isSameWork = (left: TaskSpec, right: TaskSpec): boolean => {
  const { resources } = left
  const isSameSize = resources.processors === right.resources.processors &&
    resources.memoryMb === right.resources.memoryMb && resources.accelerators === right.resources.accelerators
  return isSameSize && left.command === right.command && left.kind === right.kind
}
