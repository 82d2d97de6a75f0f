/**
 * The interface of a cell's scheduling policy: order, placement, throttling and eviction. The cell itself enforces
 * its invariants, whatever the policy decides.
 */
import type { Instant, TaskId, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { CellAction, TaskReason, Transition, UsageReading } from '../cell/types.ts'
import type { Configuration } from '../configuration/types.ts'

/** Transitions and worker actions with which a policy throttles and evicts tasks. */
export type PolicyDecision = Readonly<{ transitions: readonly Transition[], actions: readonly CellAction[] }>

/** Decides for one cell. A new owner starts with a new policy, without the estimates of its predecessor. */
export abstract class Policy {
  /** Called once, while the state is still empty, so that a policy with indexes can subscribe to its changes. */
  attach (_state: CellState): void {}

  /** Applies objectives, quotas and limits. */
  configure (_configuration: Configuration): void {}

  /** Why a task waits, is placed where it is or is throttled; `undefined` if the policy has no reason for it. */
  explain (_state: CellState, _task: TaskId, _now: Instant): TaskReason | undefined {
    return undefined
  }

  /** Decides which tasks start and marks those that fit on no VM as unrunnable. Applies each transition to the state. */
  abstract place (state: CellState, now: Instant): readonly Transition[]
  /** Records a worker's usage samples, which arrive with a delay. */
  abstract observe (state: CellState, vm: VmId, readings: readonly UsageReading[], now: Instant): void
  /**
   * Decides which batch tasks to throttle or evict, for services whose tail latency is too high and for priority
   * tasks that fit nowhere. Does not apply its transitions.
   */
  abstract reclaim (state: CellState, now: Instant): PolicyDecision
}
