/**
 * Keeps up with what peers know: endpoints always, members and cells while the store can't be read.
 */
import { Ticker, type Clock, type Log, type MemberId } from '@auburnpin/common'
import type { CellDirectory } from './CellDirectory.ts'
import { COMPARE_MS } from './constants.ts'
import type { EndpointDirectory } from './EndpointDirectory.ts'
import type { Membership } from './Membership.ts'
import type { Peers } from './Peers.ts'
import type { PeerReply, PublicationVersion } from './types.ts'

/** What the follower keeps up to date. */
export type RegionViews = Readonly<{ membership: Membership, directory: CellDirectory, endpoints: EndpointDirectory }>

/** Anti-entropy: compares with one peer after the other, so that a lost notice or a late start leaves no gap. */
export class RegionFollower {
  readonly #views: RegionViews
  readonly #peers: Peers
  readonly #ticker: Ticker
  #next = 0

  constructor (views: RegionViews, peers: Peers, clock: Clock, log: Log) {
    this.#views = views
    this.#peers = peers
    this.#ticker = new Ticker(clock, COMPARE_MS, () => this.compare(), error => log.error(String(error)))
  }

  start (): void {
    this.#ticker.start()
  }

  async stop (): Promise<void> {
    await this.#ticker.stop()
  }

  /** Compares with the next peer once. */
  async compare (): Promise<void> {
    const { others } = this.#peers
    const peer = others[this.#next++ % Math.max(1, others.length)]
    if (peer === undefined) return
    await Promise.all([this.#compareEndpoints(peer), this.#readRegion(peer)])
  }

  /** Answers a peer that compares its endpoints. */
  answerEndpoints (known: readonly PublicationVersion[]): PeerReply {
    return { kind: 'endpoints', published: this.#views.endpoints.newerThan(known) }
  }

  /** Answers a peer that can't read the store. */
  answerRegion (): PeerReply {
    const { membership, directory } = this.#views
    return { kind: 'region', members: membership.live, cells: [...directory.cells.values()].map(({ row }) => row) }
  }

  async #compareEndpoints (peer: MemberId): Promise<void> {
    const { endpoints } = this.#views
    const reply = await this.#peers.request(peer, { kind: 'list-endpoints', known: endpoints.versions })
    if (reply.err || reply.val.kind !== 'endpoints') return
    for (const notice of reply.val.published) endpoints.publish(notice)
  }

  async #readRegion (peer: MemberId): Promise<void> {
    const { membership, directory } = this.#views
    if (membership.hasLooked) return
    const reply = await this.#peers.request(peer, { kind: 'read-region' })
    if (reply.err || reply.val.kind !== 'region') return
    membership.adopt(reply.val.members)
    directory.adopt(reply.val.cells)
  }
}
