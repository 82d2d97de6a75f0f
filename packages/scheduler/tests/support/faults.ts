/**
 * Faults that begin at one numbered call of one member.
 */
import { PROMPT, type Fate, type FateChooser } from '@auburnpin/fakes'
import type { Clock } from '@auburnpin/common'

/** How the member fails at its call. */
export type FaultKind = 'killed-before' | 'killed-after' | 'answer-lost' | 'paused'

/** Where and how. */
export type Fault = Readonly<{ member: string, call: number, kind: FaultKind, pauseMs: number }>

const LOST_THERE: Fate = { thereMs: 0, backMs: 0, loss: 'there' }
const LOST_BACK: Fate = { thereMs: 0, backMs: 0, loss: 'back' }

/** Counts one member's calls and deals the fault out from the given one on. */
export class FaultInjector {
  readonly #clock: Clock
  readonly #fault: Fault
  #calls = 0
  #since: number | undefined

  constructor (clock: Clock, fault: Fault) {
    this.#clock = clock
    this.#fault = fault
  }

  /** Calls that the member made so far. */
  get calls (): number {
    return this.#calls
  }

  /** Whether the fault has come about. */
  get isInjected (): boolean {
    return this.#since !== undefined
  }

  readonly choose: FateChooser = from => {
    if (from !== this.#fault.member) return PROMPT
    const call = ++this.#calls
    if (call < this.#fault.call) return PROMPT
    this.#since ??= this.#clock.now()
    switch (this.#fault.kind) {
      case 'killed-before':
        return LOST_THERE
      case 'killed-after':
        return call === this.#fault.call ? LOST_BACK : LOST_THERE
      case 'answer-lost':
        return call === this.#fault.call ? LOST_BACK : PROMPT
      case 'paused':
        return this.#pause()
    }
  }

  // Calls of a paused member arrive when it wakes, all of them.
  #pause (): Fate {
    const leftMs = (this.#since ?? 0) + this.#fault.pauseMs - this.#clock.now()
    return leftMs > 0 ? { thereMs: leftMs, backMs: 0, loss: 'none' } : PROMPT
  }
}
