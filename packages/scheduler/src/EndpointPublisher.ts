/**
 * Publishes a cell's endpoints, but not before its workers have told an owner that has just taken over.
 */
import { brand, type Instant, type VmId } from '@auburnpin/common'
import type { Cell } from '@auburnpin/core'
import type { EndpointsNotice } from '@auburnpin/cluster'
import { ENDPOINTS_SETTLE_MS } from './constants.ts'

/** One owner's publications, numbered. Gateways keep the former owner's until the first of these. */
export class EndpointPublisher {
  readonly #cell: Cell
  readonly #publish: (notice: EndpointsNotice) => void
  readonly #settledAt: Instant
  readonly #heard = new Set<VmId>()
  #revision = 0
  #isDue = false

  constructor (cell: Cell, publish: (notice: EndpointsNotice) => void, openedAt: Instant) {
    this.#cell = cell
    this.#publish = publish
    this.#settledAt = brand<Instant>(openedAt + ENDPOINTS_SETTLE_MS)
  }

  /** Notes that a worker has told this owner what it runs. */
  hear (vm: VmId): void {
    this.#heard.add(vm)
  }

  /** Asks for a publication; several are answered by one. */
  ask (): void {
    this.#isDue = true
  }

  /** Publishes what was asked for, unless the cell would seem to have lost endpoints that it only has not seen yet. */
  publishIfDue (now: Instant): void {
    if (!this.#isDue || (now < this.#settledAt && this.#hasUnheard())) return
    this.#isDue = false
    const { cell, epoch } = this.#cell.term
    this.#publish({ kind: 'endpoints', cell, epoch, revision: ++this.#revision, endpoints: this.#cell.endpoints })
  }

  #hasUnheard (): boolean {
    for (const task of this.#cell.state.tasks.values()) {
      if (task.spec.kind !== 'replica' || task.placement === undefined) continue
      if (!this.#heard.has(task.placement.vm)) return true
    }
    return false
  }
}
