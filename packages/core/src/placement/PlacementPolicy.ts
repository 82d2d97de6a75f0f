/**
 * The choice of a VM for a task.
 */
import type { Resources } from '@auburnpin/common'
import type { TaskSpec, Vm } from '../cell/types.ts'

/** A VM on which a task fits. */
export type Candidate = Readonly<{ vm: Vm, free: Resources, tasks: readonly TaskSpec[] }>

/** Chooses among VMs with enough free capacity. */
export abstract class PlacementPolicy {
  /** The chosen candidate; `candidates` is never empty. */
  abstract select (task: TaskSpec, candidates: readonly Candidate[]): Candidate
}
