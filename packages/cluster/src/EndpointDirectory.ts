/**
 * The latest endpoints of all cells, as published by the cells' owners.
 */
import type { CellId, ServiceName } from '@auburnpin/common'
import type { Endpoint } from '@auburnpin/core'
import type { EndpointsNotice, PublicationVersion } from './types.ts'

/** Keeps the newest publication of each cell, ordered by epoch and then by revision. */
export class EndpointDirectory {
  readonly #published = new Map<CellId, EndpointsNotice>()
  readonly #listeners: Array<() => void> = []

  /** Records a publication, unless an equal or newer one of the same cell is known. */
  record (notice: EndpointsNotice): void {
    const before = this.#published.get(notice.cell)
    if (before !== undefined && !isNewer(notice, before)) return
    this.#published.set(notice.cell, notice)
    for (const listener of this.#listeners) listener()
  }

  /** Versions of the known publications, one for each cell. */
  get versions (): readonly PublicationVersion[] {
    return this.published.map(({ cell, epoch, revision }) => ({ cell, epoch, revision }))
  }

  /** Publications that a peer with these versions lacks. */
  newerThan (known: readonly PublicationVersion[]): readonly EndpointsNotice[] {
    return this.published.filter(notice => {
      const before = known.find(version => version.cell === notice.cell)
      return before === undefined || isNewer(notice, before)
    })
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

const isNewer = (notice: PublicationVersion, before: PublicationVersion): boolean =>
  notice.epoch > before.epoch || (notice.epoch === before.epoch && notice.revision > before.revision)
