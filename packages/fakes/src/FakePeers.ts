/**
 * In-memory connections between peers.
 */
import { AuburnpinError, Err, Ok, type MemberId, type Result } from '@auburnpin/common'
import { Peers, type NoticeHandler, type PeerNotice, type PeerReply, type PeerRequest, type RequestHandler } from '@auburnpin/cluster'
import type { FakeLink } from './FakeLink.ts'

/** All members that can reach each other, by id. */
export type FakePeerNetwork = Map<MemberId, FakePeers>

/** One member's connections; requests and notices are delivered by the shared link. */
export class FakePeers extends Peers {
  readonly #member: MemberId
  readonly #network: FakePeerNetwork
  readonly #link: FakeLink
  readonly #noticeHandlers: NoticeHandler[] = []
  #handleRequest: RequestHandler = async () => ({ kind: 'failed', error: { kind: 'unreachable', message: 'not ready', remedy: 'Wait.' } })

  constructor (member: MemberId, network: FakePeerNetwork, link: FakeLink) {
    super()
    this.#member = member
    this.#network = network
    this.#link = link
    network.set(member, this)
  }

  async request (to: MemberId, request: PeerRequest): Promise<Result<PeerReply, AuburnpinError>> {
    if (to === this.#member) return Ok(await this.#handleRequest(request, to))
    return await this.#link.deliver(this.#member, to, `request ${request.kind}`, async () => {
      const peer = this.#network.get(to)
      if (peer === undefined) return Err(new AuburnpinError('unreachable', `No member ${to}`, 'Try again.'))
      return Ok(structuredClone(await peer.#handleRequest(structuredClone(request), this.#member)))
    })
  }

  broadcast (notice: PeerNotice): void {
    this.#receive(notice, this.#member)
    for (const [member, peer] of this.#network) {
      if (member === this.#member) continue
      void this.#link.deliver(this.#member, member, `notice ${notice.kind}`, () => {
        if (this.#network.get(member) === peer) peer.#receive(structuredClone(notice), this.#member)
        return Ok(undefined)
      })
    }
  }

  onRequest (handler: RequestHandler): void {
    this.#handleRequest = handler
  }

  onNotice (handler: NoticeHandler): void {
    this.#noticeHandlers.push(handler)
  }

  setMembers (): void {}

  get reachable (): readonly MemberId[] {
    return [...this.#network.keys()]
  }

  get others (): readonly MemberId[] {
    return this.reachable.filter(member => member !== this.#member)
  }

  /** Simulates the end of the process: other members can no longer reach it. */
  disconnect (): void {
    if (this.#network.get(this.#member) === this) this.#network.delete(this.#member)
  }

  #receive (notice: PeerNotice, from: MemberId): void {
    for (const handler of this.#noticeHandlers) handler(notice, from)
  }
}
