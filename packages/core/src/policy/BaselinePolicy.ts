/**
 * A policy that only places tasks, by one placement rule: the baseline for other policies.
 */
import type { Instant } from '@auburnpin/common'
import type { CellState } from '../cell/CellState.ts'
import type { Transition } from '../cell/types.ts'
import type { PlacementPolicy } from '../placement/PlacementPolicy.ts'
import { placeWaiting } from './placeWaiting.ts'
import { Policy, type PolicyDecision } from './Policy.ts'

const NO_DECISION: PolicyDecision = { transitions: [], actions: [] }

/** Ignores usage samples; never throttles or evicts. */
export class BaselinePolicy extends Policy {
  readonly #placement: PlacementPolicy

  constructor (placement: PlacementPolicy) {
    super()
    this.#placement = placement
  }

  place (state: CellState, now: Instant): readonly Transition[] {
    return placeWaiting(state, this.#placement, now)
  }

  observe (): void {}

  reclaim (): PolicyDecision {
    return NO_DECISION
  }
}
