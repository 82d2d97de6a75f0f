/**
 * The endpoints of all cells, as their owners published them last.
 */
import type { CellId, ServiceName } from '@auburnpin/common'
import type { Endpoint } from '@auburnpin/core'
import type { EndpointsNotice } from './types.ts'

/** Keeps the newest publication of each cell; older ones are dropped. */
export class EndpointDirectory {
  readonly #published = new Map<CellId, EndpointsNotice>()
  readonly #listeners: Array<() => void> = []

  /** Takes a publication in unless a newer one of the same cell is known. */
  publish (notice: EndpointsNotice): void {
    const before = this.#published.get(notice.cell)
    if (before !== undefined && !isNewer(notice, before)) return
    this.#published.set(notice.cell, notice)
    for (const listener of this.#listeners) listener()
  }

  get published (): readonly EndpointsNotice[] {
    return [...this.#published.values()]
  }

  /** All endpoints of one service. */
  endpointsOf (service: ServiceName): Endpoint[] {
    const endpoints: Endpoint[] = []
    for (const notice of this.#published.values()) {
      for (const endpoint of notice.endpoints) {
        if (endpoint.service === service) endpoints.push(endpoint)
      }
    }
    return endpoints
  }

  /** Calls `listener` after each change. */
  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }
}

const isNewer = (notice: EndpointsNotice, before: EndpointsNotice): boolean =>
  notice.epoch > before.epoch || (notice.epoch === before.epoch && notice.revision > before.revision)
