/**
 * Publication of a cell's endpoints. A new owner publishes only after its workers have reported.
 */
import { brand, type Instant, type VmId } from '@auburnpin/common'
import type { Cell } from '@auburnpin/core'
import type { EndpointsNotice } from '@auburnpin/cluster'
import { INITIAL_REPORTS_TIMEOUT_MS } from './constants.ts'

/** Publishes numbered endpoint lists for one owner. Gateways use the previous owner's list until the first of these. */
export class EndpointPublisher {
  readonly #cell: Cell
  readonly #publish: (notice: EndpointsNotice) => void
  readonly #reportsDeadline: Instant
  readonly #reportedVms = new Set<VmId>()
  #revision = 0
  #isRequested = false

  constructor (cell: Cell, publish: (notice: EndpointsNotice) => void, openedAt: Instant) {
    this.#cell = cell
    this.#publish = publish
    this.#reportsDeadline = brand<Instant>(openedAt + INITIAL_REPORTS_TIMEOUT_MS)
  }

  /** Records that this owner has received a report of the worker. */
  recordReport (vm: VmId): void {
    this.#reportedVms.add(vm)
  }

  /** Requests a publication; requests before the next publication are combined. */
  requestPublication (): void {
    this.#isRequested = true
  }

  /** Publishes if requested, unless endpoints would be missing only because their workers have not reported yet. */
  publishIfReady (now: Instant): void {
    if (!this.#isRequested || (now < this.#reportsDeadline && this.#isAwaitingReports())) return
    this.#isRequested = false
    const { cell, epoch } = this.#cell.term
    this.#publish({ kind: 'endpoints', cell, epoch, revision: ++this.#revision, endpoints: this.#cell.endpoints })
  }

  #isAwaitingReports (): boolean {
    for (const task of this.#cell.state.tasks.values()) {
      if (task.spec.kind !== 'replica' || task.placement === undefined) continue
      if (!this.#reportedVms.has(task.placement.vm)) return true
    }
    return false
  }
}
