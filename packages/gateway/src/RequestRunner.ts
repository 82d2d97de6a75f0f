/**
 * Finds each request a slot, at this gateway or at the owner of one, and sees it through to its one answer.
 */
import { Agent } from 'node:http'
import {
  AuburnpinError, brand, Err, type Clock, type EndpointId, type Instant, type MemberId, type Result, type ServiceName
} from '@auburnpin/common'
import { isRetryAllowed, type EndpointReport, type Route, type Service } from '@auburnpin/core'
import type { EndpointDirectory, PeerStream, StreamPeers } from '@auburnpin/cluster'
import { IDLE_REUSE_MS, MAX_PEERS_ASKED, SOCKETS_PER_ENDPOINT } from './constants.ts'
import type { Exchange } from './Exchange.ts'
import { forwardRequest } from './forwardRequest.ts'
import { forwardToPeer, type PeerFault } from './forwardToPeer.ts'
import type { GatewayLimits } from './limits.ts'
import { PeerExchange } from './PeerExchange.ts'
import type { ForwardOpening } from './peerMessages.ts'
import { ServiceRouter, type Slot } from './ServiceRouter.ts'
import type { SlotOwners } from './SlotOwners.ts'
import type { RequestFault } from './types.ts'

/** What the runner needs from outside. */
export type RunnerPorts = Readonly<{
  self: MemberId
  clock: Clock
  limits: GatewayLimits
  endpoints: EndpointDirectory
  owners: SlotOwners
  /** Links to the other gateways; without them all slots are handed out here. */
  streams?: StreamPeers
}>

/** A request on its way, with the endpoints that it has tried. */
type Journey = Readonly<{ exchange: Exchange, tried: Set<EndpointId> }>

/** A caller's request, which may go to other gateways too. */
type CallerJourney = Journey & Readonly<{ deadline: Instant, asked: Set<MemberId> }>

/** Runs requests of callers and of other gateways. */
export class RequestRunner {
  readonly #ports: RunnerPorts
  readonly #routers = new Map<ServiceName, ServiceRouter>()
  readonly #agent = new Agent({ keepAlive: true, timeout: IDLE_REUSE_MS, maxSockets: SOCKETS_PER_ENDPOINT })
  #inProgress = 0

  constructor (ports: RunnerPorts) {
    this.#ports = ports
    ports.endpoints.onChange(() => this.refresh())
    ports.streams?.onStream((head, stream, confirmed) => { void this.#serveStream(head as ForwardOpening, stream, confirmed) })
  }

  /** Requests that have not ended, those of other gateways included. */
  get inProgress (): number {
    return this.#inProgress
  }

  /** Looks again at which endpoints this gateway owns. */
  refresh (): void {
    for (const [name, router] of this.#routers) router.update(this.#ports.owners.ownedOf(name))
  }

  close (): void {
    this.#agent.destroy()
  }

  /** Runs a caller's request; resolves to whether an endpoint answered it. */
  async run (exchange: Exchange, service: Service): Promise<boolean> {
    this.#inProgress++
    try {
      const result = await this.#tryUntilDone(exchange, service)
      if (result.err && !exchange.isGone) exchange.fail(result.val)
      return result.ok
    } finally {
      this.#inProgress--
    }
  }

  async #tryUntilDone (exchange: Exchange, service: Service): Promise<Result<void, RequestFault>> {
    const { clock } = this.#ports
    const { retries } = this.#routerOf(exchange.head.service)
    const deadline = brand<Instant>(clock.now() + service.queueMs)
    const journey: CallerJourney = { exchange, deadline, tried: new Set(), asked: new Set() }
    retries.earn()
    for (let tries = 1; ;) {
      const result = await this.#tryOnce(journey)
      if (result.ok || exchange.isGone) return result
      const { cause, isNotRun } = result.val
      const isRefused = cause === 'busy' || cause === 'leaving'
      const isIdempotent = service.idempotentMethods.includes(exchange.head.method)
      const failed = { tries, isNotRun, isRefused, isIdempotent, isReplayable: exchange.body.isReplayable, isBegun: exchange.isBegun }
      if (cause === 'admission' || cause === 'caller' || !isRetryAllowed(failed, retries)) return result
      // Who owned the slots is gone, and its endpoints may be this gateway's now.
      if (cause === 'peer') this.refresh()
      // A refusal marks the endpoint, so the next one differs; the time to wait for a slot bounds them.
      if (!isRefused) tries++
      if (isRefused && clock.now() >= deadline) return result
    }
  }

  async #tryOnce (journey: CallerJourney): Promise<Result<void, PeerFault>> {
    const { exchange, tried } = journey
    const { bound, service } = exchange.head
    const router = this.#routerOf(service)
    const holder = bound === undefined || tried.has(bound) ? undefined : this.#ports.owners.ownerOfBound(service, bound)
    if (holder !== undefined && holder !== this.#ports.self) return await this.#askPeer(journey, holder, this.#timeLeft(journey))
    const slot = router.tryAcquire(routeOf(journey))
    if (slot !== undefined) return await this.#useSlot(journey, slot)
    if (holder !== undefined) return await this.#waitHere(journey)
    return await this.#askPeers(journey) ?? await this.#waitForSlot(journey)
  }

  // Undefined when no peer that was asked had a free slot.
  async #askPeers (journey: CallerJourney): Promise<Result<void, PeerFault> | undefined> {
    for (let asked = 0; asked < MAX_PEERS_ASKED; asked++) {
      const peer = this.#ports.owners.choosePeer(journey.exchange.head.service, journey.asked)
      if (peer === undefined || !journey.exchange.body.isReplayable) return undefined
      journey.asked.add(peer)
      const result = await this.#askPeer(journey, peer, 0)
      const isOpen = result.err && result.val.isNotRun && (result.val.cause === 'admission' || result.val.cause === 'peer')
      if (!isOpen) return result
    }
    return undefined
  }

  // Waits where the wait seems shorter, so that no queue stands while others have slots free.
  async #waitForSlot (journey: CallerJourney): Promise<Result<void, PeerFault>> {
    const { head } = journey.exchange
    const router = this.#routerOf(head.service)
    const peer = this.#ports.owners.choosePeer(head.service, new Set())
    const isShorterThere = peer !== undefined && this.#ports.owners.spareOf(peer) > router.spareShare
    if (isShorterThere && journey.exchange.body.isReplayable) return await this.#askPeer(journey, peer, this.#timeLeft(journey))
    return router.endpoints.length === 0 ? Err(noEndpoint()) : await this.#waitHere(journey)
  }

  async #waitHere (journey: CallerJourney): Promise<Result<void, PeerFault>> {
    const { head } = journey.exchange
    const slot = await this.#routerOf(head.service).acquire(head.caller, routeOf(journey), this.#timeLeft(journey))
    return slot.err ? slot : await this.#useSlot(journey, slot.val)
  }

  async #askPeer (journey: CallerJourney, owner: MemberId, waitMs: number): Promise<Result<void, PeerFault>> {
    const { exchange, tried } = journey
    const { streams, owners } = this.#ports
    if (streams === undefined) return Err(noEndpoint())
    const opening: ForwardOpening = { kind: 'request', head: exchange.head, tried: [...tried], waitMs }
    const result = await forwardToPeer({ exchange, peers: streams, owner, opening, onSpareShare: share => owners.noteSpareShare(owner, share) })
    if (result.err && result.val.endpoint !== undefined) tried.add(result.val.endpoint)
    return result
  }

  async #useSlot ({ exchange, tried }: Journey, slot: Slot): Promise<Result<void, RequestFault>> {
    const { endpoint } = slot
    const router = this.#routerOf(exchange.head.service)
    if (exchange.isGone) {
      router.release(slot, 'abandoned')
      return Err(callerGone())
    }
    tried.add(endpoint.id)
    const result = await forwardRequest({ exchange, endpoint, agent: this.#agent, limits: this.#ports.limits })
    router.release(slot, reportOf(result))
    return result
  }

  // One try for another gateway, which alone decides on retries.
  async #serveStream (opening: ForwardOpening, stream: PeerStream, confirmed: Promise<void>): Promise<void> {
    const { head, tried, waitMs } = opening
    const router = this.#routerOf(head.service)
    const exchange = new PeerExchange(head, stream, this.#ports.limits.maxBodyBytes, () => router.spareShare)
    const journey: Journey = { exchange, tried: new Set(tried) }
    this.#inProgress++
    try {
      const slot = await router.acquire(head.caller, routeOf(journey), waitMs)
      if (slot.ok) exchange.ready(slot.val.endpoint.id)
      const result = slot.err ? slot : await this.#useSlot(journey, slot.val)
      if (result.err) exchange.fail(result.val)
      await confirmed
    } finally {
      this.#inProgress--
    }
  }

  #timeLeft ({ deadline }: CallerJourney): number {
    return Math.max(0, deadline - this.#ports.clock.now())
  }

  #routerOf (name: ServiceName): ServiceRouter {
    const existing = this.#routers.get(name)
    if (existing !== undefined) return existing
    const router = new ServiceRouter(this.#ports.clock, this.#ports.limits.maxQueued)
    router.update(this.#ports.owners.ownedOf(name))
    this.#routers.set(name, router)
    return router
  }
}

const routeOf = ({ exchange: { head }, tried }: Journey): Route =>
  head.bound === undefined ? { tried } : { tried, bound: head.bound }

const reportOf = (result: Result<void, RequestFault>): EndpointReport => {
  if (result.ok) return 'answered'
  const { cause } = result.val
  if (cause === 'busy') return 'refused-busy'
  if (cause === 'leaving') return 'refused-leaving'
  return cause === 'endpoint' ? 'failed' : 'abandoned'
}

const noEndpoint = (): RequestFault => ({
  error: new AuburnpinError('unreachable', 'The service has no endpoint at present', 'Come back after the time in Retry-After; `auburnpin status` lists the endpoints.'),
  cause: 'admission',
  isNotRun: true,
  status: 503
})

const callerGone = (): RequestFault => ({
  error: new AuburnpinError('unreachable', 'The caller went away', 'Send the request again if it is still wanted.'),
  cause: 'caller',
  isNotRun: true,
  status: 503
})
