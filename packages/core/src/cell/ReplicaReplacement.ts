/**
 * Replaces a service's replicas make-before-break: the next one runs before the last one leaves.
 */
import { brand, type Epoch, type Instant, type TaskId } from '@auburnpin/common'
import { LEAVING_WAIT_MS, REPLACE_WAIT_MS } from '../constants.ts'
import { isFinal } from './applyTransition.ts'
import type { CellState } from './CellState.ts'
import type { Task, TaskSpec } from './types.ts'

/** Replicas to accept and to withdraw. */
export type Replacement = Readonly<{ accepted: readonly TaskSpec[], withdrawn: readonly TaskId[] }>

type Successor = Readonly<{ id: TaskId, since: Instant }>

/**
 * Holds a running replica for each declared one. Two tasks share a declared replica's slot for a while when its
 * declaration changes or its VM leaves.
 */
export class ReplicaReplacement {
  readonly #epoch: Epoch
  readonly #successors = new Map<TaskId, Successor>()
  #declared: readonly TaskSpec[] = []
  #twins = 0

  constructor (epoch: Epoch) {
    this.#epoch = epoch
  }

  /** Takes over the declared replicas. */
  declare (specs: readonly TaskSpec[]): void {
    this.#declared = specs.filter(spec => spec.kind === 'replica')
  }

  /** Compares the replicas that there are with the declared ones. */
  examine (state: CellState, now: Instant): Replacement {
    const holders = this.#holders(state)
    const accepted: TaskSpec[] = []
    const withdrawn: TaskId[] = []
    for (const spec of this.#declared) {
      const present = holders.get(spec.id) ?? []
      holders.delete(spec.id)
      const good = present.filter(task => isGood(state, task, spec))
      const keep = good.find(task => task.placement?.isRunning) ?? good[0]
      const next = keep?.spec ?? this.#twinOf(state, spec)
      if (keep === undefined) accepted.push(next)
      for (const task of present) {
        if (task === keep) continue
        if (task.placement === undefined) withdrawn.push(task.spec.id)
        else this.#follow(task.spec.id, next.id, now)
      }
    }
    for (const surplus of holders.values()) withdrawn.push(...surplus.map(task => task.spec.id))
    return { accepted, withdrawn }
  }

  /** Replicas whose successors run, or which have waited long enough for room. */
  due (state: CellState, now: Instant): TaskId[] {
    const due: TaskId[] = []
    for (const [id, successor] of this.#successors) {
      const next = state.tasks.get(successor.id)
      const isRunning = next?.placement?.address !== undefined && next.placement.isRunning
      // One that failed would take the service down with it; one that found no room needs this one's.
      const isStuck = now - successor.since >= patienceOf(state, id) && next?.placement === undefined && next?.failures === 0
      if (!isRunning && !isStuck) continue
      this.#successors.delete(id)
      due.push(id)
    }
    return due
  }

  #follow (id: TaskId, next: TaskId, now: Instant): void {
    if (this.#successors.get(id)?.id !== next) this.#successors.set(id, { id: next, since: now })
  }

  #holders (state: CellState): Map<TaskId, Task[]> {
    const holders = new Map<TaskId, Task[]>()
    for (const task of state.tasks.values()) {
      if (task.spec.kind !== 'replica' || task.isWithdrawn || isFinal(task)) continue
      const slot = task.spec.slot ?? task.spec.id
      holders.set(slot, [...holders.get(slot) ?? [], task])
    }
    return holders
  }

  // A worker never starts an id again whose attempts have ended, so a twin's id is new in every term.
  #twinOf (state: CellState, spec: TaskSpec): TaskSpec {
    if (!state.tasks.has(spec.id)) return spec
    return { ...spec, id: brand<TaskId>(`${spec.id}~${this.#epoch}.${++this.#twins}`), slot: spec.id }
  }
}

// A VM that leaves does not wait for ever.
const patienceOf = (state: CellState, id: TaskId): number => {
  const vm = state.tasks.get(id)?.placement?.vm
  const isLeaving = vm !== undefined && state.vms.get(vm)?.isLeaving === true
  return isLeaving ? LEAVING_WAIT_MS : REPLACE_WAIT_MS
}

const isGood = (state: CellState, task: Task, spec: TaskSpec): boolean => {
  const vm = task.placement === undefined ? undefined : state.vms.get(task.placement.vm)
  return isSameWork(task.spec, spec) && vm?.isLeaving !== true && task.placement?.isStopping !== true
}

/** Whether two specs ask the worker for the same. */
export const isSameWork = (left: TaskSpec, right: TaskSpec): boolean => {
  const { resources } = left
  const isSameSize = resources.processors === right.resources.processors &&
    resources.memoryMb === right.resources.memoryMb && resources.accelerators === right.resources.accelerators
  return isSameSize && left.command === right.command && left.kind === right.kind
}
