/**
 * Synchronises with peers: endpoints at all times, members and cells until this process has read the store.
 */
import { Ticker, type Clock, type Log, type MemberId } from '@auburnpin/common'
import type { CellDirectory } from './CellDirectory.ts'
import { ANTI_ENTROPY_INTERVAL_MS } from './constants.ts'
import type { EndpointDirectory } from './EndpointDirectory.ts'
import type { Membership } from './Membership.ts'
import type { Peers } from './Peers.ts'
import type { PeerReply, PublicationVersion } from './types.ts'

/** The views of the region that are kept up to date. */
export type RegionViews = Readonly<{ membership: Membership, directory: CellDirectory, endpoints: EndpointDirectory }>

/** Anti-entropy: synchronises with one peer after another, which makes up for lost notices and a late start. */
export class RegionSynchroniser {
  readonly #views: RegionViews
  readonly #peers: Peers
  readonly #ticker: Ticker
  #nextPeer = 0

  constructor (views: RegionViews, peers: Peers, clock: Clock, log: Log) {
    this.#views = views
    this.#peers = peers
    this.#ticker = new Ticker(clock, ANTI_ENTROPY_INTERVAL_MS, () => this.synchronise(), error => log.error(String(error)))
  }

  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** Synchronises with the next peer once. */
  async synchronise (): Promise<void> {
    const { others } = this.#peers
    const peer = others[this.#nextPeer++ % Math.max(1, others.length)]
    if (peer === undefined) return
    await Promise.all([this.#readEndpoints(peer), this.#readRegion(peer)])
  }

  /** Answers a peer with the endpoint publications that it lacks. */
  answerEndpoints (known: readonly PublicationVersion[]): PeerReply {
    return { kind: 'endpoints', published: this.#views.endpoints.newerThan(known) }
  }

  /** Answers a peer that can't read the store with this process's view of members and cells. */
  answerRegion (): PeerReply {
    const { membership, directory } = this.#views
    return { kind: 'region', members: membership.live, cells: [...directory.cells.values()].map(({ row }) => row) }
  }

  async #readEndpoints (peer: MemberId): Promise<void> {
    const { endpoints } = this.#views
    const reply = await this.#peers.request(peer, { kind: 'list-endpoints', known: endpoints.versions })
    if (reply.err || reply.val.kind !== 'endpoints') return
    for (const notice of reply.val.published) endpoints.record(notice)
  }

  async #readRegion (peer: MemberId): Promise<void> {
    const { membership, directory } = this.#views
    if (membership.hasReadRows) return
    const reply = await this.#peers.request(peer, { kind: 'read-region' })
    if (reply.err || reply.val.kind !== 'region') return
    membership.adopt(reply.val.members)
    directory.adopt(reply.val.cells)
  }
}
