/**
 * Routes each request: acquires a slot here or forwards to the gateway that owns one, and retries as the rules allow.
 */
import { Agent } from 'node:http'
import {
  AuburnpinError, brand, Err, type Clock, type EndpointId, type Instant, type MemberId, type Result, type ServiceName
} from '@auburnpin/common'
import { isRetryAllowed, type RequestOutcome, type RouteConstraints, type Service } from '@auburnpin/core'
import type { EndpointDirectory, PeerStream, StreamPeers } from '@auburnpin/cluster'
import { IDLE_REUSE_MS, MAX_PEERS_TRIED, SOCKETS_PER_ENDPOINT } from './constants.ts'
import type { Exchange } from './Exchange.ts'
import { forwardToEndpoint } from './forwardToEndpoint.ts'
import { forwardToPeer, type PeerFault } from './forwardToPeer.ts'
import type { GatewayLimits } from './limits.ts'
import { PeerExchange } from './PeerExchange.ts'
import type { ForwardOpening } from './peerMessages.ts'
import { ServiceRouter, type Slot } from './ServiceRouter.ts'
import type { SlotOwners } from './SlotOwners.ts'
import type { RequestFault } from './types.ts'

/** Dependencies of the runner. */
export type RunnerPorts = Readonly<{
  self: MemberId
  clock: Clock
  limits: GatewayLimits
  endpoints: EndpointDirectory
  owners: SlotOwners
  /** Opens streams to the other gateways; if absent, this gateway grants all slots itself. */
  streams?: StreamPeers
}>

/** A request in progress and the endpoints that it has tried. */
type RoutingState = Readonly<{ exchange: Exchange, tried: Set<EndpointId> }>

/** A caller's request in progress, which may also be forwarded: its deadline and the gateways that it has tried. */
type CallerRoutingState = RoutingState & Readonly<{ deadline: Instant, triedPeers: Set<MemberId> }>

/** Runs requests received from callers and from other gateways. */
export class RequestRunner {
  readonly #ports: RunnerPorts
  readonly #routers = new Map<ServiceName, ServiceRouter>()
  readonly #agent = new Agent({ keepAlive: true, timeout: IDLE_REUSE_MS, maxSockets: SOCKETS_PER_ENDPOINT })
  #inProgress = 0

  constructor (ports: RunnerPorts) {
    this.#ports = ports
    ports.endpoints.onChange(() => this.refresh())
    ports.streams?.onStream((head, stream, confirmed) => { void this.#servePeerRequest(head as ForwardOpening, stream, confirmed) })
  }

  /** Requests that have not ended, including those forwarded by other gateways. */
  get inProgress (): number {
    return this.#inProgress
  }

  /** Recomputes which endpoints this gateway owns. */
  refresh (): void {
    for (const [name, router] of this.#routers) router.update(this.#ports.owners.ownedEndpointsOf(name))
  }

  close (): void {
    this.#agent.destroy()
  }

  /** Runs a caller's request; resolves to whether it got a complete response from an endpoint. */
  async run (exchange: Exchange, service: Service): Promise<boolean> {
    this.#inProgress++
    try {
      const result = await this.#tryUntilDone(exchange, service)
      if (result.err && !exchange.isDisconnected) exchange.fail(result.val)
      return result.ok
    } finally {
      this.#inProgress--
    }
  }

  async #tryUntilDone (exchange: Exchange, service: Service): Promise<Result<void, RequestFault>> {
    const { clock } = this.#ports
    const { retries } = this.#routerOf(exchange.head.service)
    const deadline = brand<Instant>(clock.now() + service.queueMs)
    const state: CallerRoutingState = { exchange, deadline, tried: new Set(), triedPeers: new Set() }
    retries.earn()
    for (let tries = 1; ;) {
      const result = await this.#tryOnce(state)
      if (result.ok || exchange.isDisconnected) return result
      const { cause, isNotRun } = result.val
      const isRefused = cause === 'busy' || cause === 'leaving'
      const isIdempotent = service.idempotentMethods.includes(exchange.head.method)
      const failedTry = { tries, isNotRun, isRefused, isIdempotent, isReplayable: exchange.body.isReplayable, isBegun: exchange.isResponseStarted }
      if (cause === 'admission' || cause === 'caller' || !isRetryAllowed(failedTry, retries)) return result
      // The owner of the slots is unreachable, and this gateway may own its endpoints now.
      if (cause === 'peer') this.refresh()
      // The pool records a refusal, so the next try uses another endpoint. Refusals do not count as tries; the deadline bounds them.
      if (!isRefused) tries++
      if (isRefused && clock.now() >= deadline) return result
    }
  }

  async #tryOnce (state: CallerRoutingState): Promise<Result<void, PeerFault>> {
    const { exchange, tried } = state
    const { bound, service } = exchange.head
    const router = this.#routerOf(service)
    const boundOwner = bound === undefined || tried.has(bound) ? undefined : this.#ports.owners.ownerOfSessionEndpoint(service, bound)
    if (boundOwner !== undefined && boundOwner !== this.#ports.self) return await this.#forwardToOwner(state, boundOwner, this.#remainingMs(state))
    const slot = router.tryAcquire(routeOf(state))
    if (slot !== undefined) return await this.#useSlot(state, slot)
    if (boundOwner !== undefined) return await this.#waitLocally(state)
    return await this.#tryPeers(state) ?? await this.#waitForSlot(state)
  }

  // Resolves to `undefined` when no peer that was tried had a free slot.
  async #tryPeers (state: CallerRoutingState): Promise<Result<void, PeerFault> | undefined> {
    for (let tries = 0; tries < MAX_PEERS_TRIED; tries++) {
      const peer = this.#ports.owners.choosePeer(state.exchange.head.service, state.triedPeers)
      if (peer === undefined || !state.exchange.body.isReplayable) return undefined
      state.triedPeers.add(peer)
      const result = await this.#forwardToOwner(state, peer, 0)
      const mayTryNext = result.err && result.val.isNotRun && (result.val.cause === 'admission' || result.val.cause === 'peer')
      if (!mayTryNext) return result
    }
    return undefined
  }

  // Waits at the gateway with the larger spare share, so that no queue builds up while another owner has free slots.
  async #waitForSlot (state: CallerRoutingState): Promise<Result<void, PeerFault>> {
    const { head } = state.exchange
    const router = this.#routerOf(head.service)
    const peer = this.#ports.owners.choosePeer(head.service, new Set())
    const isPeerLessLoaded = peer !== undefined && this.#ports.owners.spareShareOf(peer) > router.spareShare
    if (isPeerLessLoaded && state.exchange.body.isReplayable) return await this.#forwardToOwner(state, peer, this.#remainingMs(state))
    return router.endpoints.length === 0 ? Err(noEndpointFault()) : await this.#waitLocally(state)
  }

  async #waitLocally (state: CallerRoutingState): Promise<Result<void, PeerFault>> {
    const { head } = state.exchange
    const slot = await this.#routerOf(head.service).acquire(head.caller, routeOf(state), this.#remainingMs(state))
    return slot.err ? slot : await this.#useSlot(state, slot.val)
  }

  async #forwardToOwner (state: CallerRoutingState, owner: MemberId, waitMs: number): Promise<Result<void, PeerFault>> {
    const { exchange, tried } = state
    const { streams, owners } = this.#ports
    if (streams === undefined) return Err(noEndpointFault())
    const opening: ForwardOpening = { kind: 'request', head: exchange.head, tried: [...tried], waitMs }
    const result = await forwardToPeer({ exchange, peers: streams, owner, opening, onSpareShare: share => owners.recordSpareShare(owner, share) })
    if (result.err && result.val.endpoint !== undefined) tried.add(result.val.endpoint)
    return result
  }

  async #useSlot ({ exchange, tried }: RoutingState, slot: Slot): Promise<Result<void, RequestFault>> {
    const { endpoint } = slot
    const router = this.#routerOf(exchange.head.service)
    if (exchange.isDisconnected) {
      router.release(slot, 'abandoned')
      return Err(callerDisconnectedFault())
    }
    tried.add(endpoint.id)
    const result = await forwardToEndpoint({ exchange, endpoint, agent: this.#agent, limits: this.#ports.limits })
    router.release(slot, outcomeOf(result))
    return result
  }

  // One try on behalf of another gateway; only that gateway decides on retries.
  async #servePeerRequest (opening: ForwardOpening, stream: PeerStream, confirmed: Promise<void>): Promise<void> {
    const { head, tried, waitMs } = opening
    const router = this.#routerOf(head.service)
    const exchange = new PeerExchange(head, stream, this.#ports.limits.maxBodyBytes, () => router.spareShare)
    const state: RoutingState = { exchange, tried: new Set(tried) }
    this.#inProgress++
    try {
      const slot = await router.acquire(head.caller, routeOf(state), waitMs)
      if (slot.ok) exchange.sendReady(slot.val.endpoint.id)
      const result = slot.err ? slot : await this.#useSlot(state, slot.val)
      if (result.err) exchange.fail(result.val)
      await confirmed
    } finally {
      this.#inProgress--
    }
  }

  #remainingMs ({ deadline }: CallerRoutingState): number {
    return Math.max(0, deadline - this.#ports.clock.now())
  }

  #routerOf (name: ServiceName): ServiceRouter {
    const existing = this.#routers.get(name)
    if (existing !== undefined) return existing
    const router = new ServiceRouter(this.#ports.clock, this.#ports.limits.maxQueued)
    router.update(this.#ports.owners.ownedEndpointsOf(name))
    this.#routers.set(name, router)
    return router
  }
}

const routeOf = ({ exchange: { head }, tried }: RoutingState): RouteConstraints =>
  head.bound === undefined ? { tried } : { tried, bound: head.bound }

const outcomeOf = (result: Result<void, RequestFault>): RequestOutcome => {
  if (result.ok) return 'answered'
  const { cause } = result.val
  if (cause === 'busy') return 'refused-busy'
  if (cause === 'leaving') return 'refused-leaving'
  return cause === 'endpoint' ? 'failed' : 'abandoned'
}

const noEndpointFault = (): RequestFault => ({
  error: new AuburnpinError('unreachable', 'The service has no endpoint at present', 'Come back after the time in Retry-After; `auburnpin status` lists the endpoints.'),
  cause: 'admission',
  isNotRun: true,
  status: 503
})

const callerDisconnectedFault = (): RequestFault => ({
  error: new AuburnpinError('unreachable', 'The caller disconnected', 'Send the request again if it is still wanted.'),
  cause: 'caller',
  isNotRun: true,
  status: 503
})
