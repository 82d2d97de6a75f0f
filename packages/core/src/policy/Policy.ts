/**
 * The judgement of a cell: order, placement, relief. What must hold whatever the policy says is the cell's own.
 */
import type { Instant, VmId } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { CellAction, Transition, UsageReading } from '../cell/types.ts'

/** Evictions and throttling that a policy asks for. */
export type Relief = Readonly<{ transitions: readonly Transition[], actions: readonly CellAction[] }>

/** Decides for one cell; a new owner starts with a new policy and learns again. */
export abstract class Policy {
  /** Decides starts, and finds tasks that can never run. Applies each transition to the state at once. */
  abstract place (state: CellState, now: Instant): readonly Transition[]
  /** Takes in a worker's usage samples, which lag behind. */
  abstract observe (state: CellState, vm: VmId, readings: readonly UsageReading[], now: Instant): void
  /** Throttles and evicts where a service's tail suffers. Does not apply its transitions. */
  abstract relieve (state: CellState, now: Instant): Relief
}
