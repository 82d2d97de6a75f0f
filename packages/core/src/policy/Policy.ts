/**
 * The judgement of a cell: order, placement, relief. What must hold whatever the policy says is the cell's own.
 */
import type { Instant, TaskId, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { CellAction, TaskReason, Transition, UsageReading } from '../cell/types.ts'
import type { Configuration } from '../configuration/types.ts'

/** Evictions and throttling that a policy asks for. */
export type Relief = Readonly<{ transitions: readonly Transition[], actions: readonly CellAction[] }>

/** Decides for one cell; a new owner starts with a new policy and learns again. */
export abstract class Policy {
  /** Called once, before anything is in the state; a policy that keeps indexes watches it from here on. */
  attach (_state: CellState): void {}

  /** Takes in objectives, quotas and limits. */
  configure (_configuration: Configuration): void {}

  /** Why a task waits, sits where it does or is throttled, as far as the policy knows. */
  explain (_state: CellState, _task: TaskId, _now: Instant): TaskReason | undefined {
    return undefined
  }

  /** Decides starts, and finds tasks that can never run. Applies each transition to the state at once. */
  abstract place (state: CellState, now: Instant): readonly Transition[]
  /** Takes in a worker's usage samples, which lag behind. */
  abstract observe (state: CellState, vm: VmId, readings: readonly UsageReading[], now: Instant): void
  /** Throttles and evicts where a service's tail suffers. Does not apply its transitions. */
  abstract relieve (state: CellState, now: Instant): Relief
}
