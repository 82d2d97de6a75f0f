/**
 * A discrete-event simulation of requests that queue for endpoint slots at several gateways.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { brand, SeededRandom, type DataCentre, type EndpointId, type Instant, type MemberId, type Random, type ServiceName, type VmId } from '@auburnpin/common'
import { EndpointPool, MAX_TRIES, ownerOfEndpoint, type Endpoint, type LiveGateway } from '@auburnpin/core'

/** Strategy by which gateways select a slot. */
export type Routing =
  /** Each slot is owned by one gateway; the others forward requests, and a request waits at the gateway with the shorter estimated wait. */
  | 'owned'
  /** The same, but a request waits at the gateway that received it. */
  | 'owned-wait-here'
  /** Each slot is owned by one gateway, and no gateway forwards requests. */
  | 'owned-alone'
  /** The one of two random endpoints with fewer outstanding requests of this gateway; after three refusals the caller is refused. */
  | 'two-choices'
  /** The same, but a refused request is retried after a pause until its deadline. */
  | 'two-choices-patient'

/** Parameters of one simulation. */
export type Scenario = Readonly<{ routing: Routing, load: number, requests: number, seed: number, isSkewed: boolean }>

/** Result of one simulation; times in milliseconds. */
export type Outcome = Readonly<{ p50: number, p99: number, p999: number, refusedShare: number, refusalsPerRequest: number, hopsPerRequest: number }>

const ENDPOINTS = 33
const SLOTS = 8
const GATEWAYS = 9
const MEAN_SERVICE_MS = 20
const PARETO_SHAPE = 1.6
const PARETO_CAP_MS = 2_000
const ONE_WAY_MS = 0.5
const MAX_WAIT_MS = 2_000
const MAX_RETRY_PAUSE_MS = 20
const MAX_PEERS_TRIED = 2
const SKEWED_SHARE = 0.4
const DATA_CENTRES = ['colombo', 'negombo', 'kalutara']
const MAX_DURATION_US = 60_000_000

type Request = { readonly id: number, readonly arrivedAt: number, readonly serviceMs: number, hops: number, refusals: number, isWaiting: boolean }

type Gateway = {
  readonly member: MemberId
  readonly pool: EndpointPool
  readonly waiting: Request[]
  /** Requests of this gateway that are outstanding at each endpoint. */
  readonly outstanding: number[]
  /** Free slots of the other gateways, as last reported by them. */
  readonly reportedSpare: Map<number, number>
}

class EventQueue {
  readonly #heap: Array<{ at: number, order: number, run: () => void }> = []
  #order = 0
  now = 0

  after (delay: number, run: () => void): void {
    const event = { at: this.now + delay, order: this.#order++, run }
    let index = this.#heap.push(event) - 1
    for (let parent = (index - 1) >> 1; index > 0 && this.#isBefore(event, parent); index = parent, parent = (index - 1) >> 1) {
      this.#heap[index] = this.#heap[parent] as typeof event
    }
    this.#heap[index] = event
  }

  run (): void {
    while (this.#heap.length > 0) {
      const first = this.#heap[0] as { at: number, run: () => void }
      const last = this.#heap.pop() as { at: number, order: number, run: () => void }
      if (this.#heap.length > 0) this.#siftDown(last)
      this.now = first.at
      first.run()
    }
  }

  #siftDown (event: { at: number, order: number, run: () => void }): void {
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= this.#heap.length) break
      const right = this.#heap[child + 1]
      if (right !== undefined && this.#isBefore(right, child)) child++
      if (this.#isBefore(event, child)) break
      this.#heap[index] = this.#heap[child] as typeof event
      index = child
    }
    this.#heap[index] = event
  }

  #isBefore (event: { at: number, order: number }, index: number): boolean {
    const other = this.#heap[index] as { at: number, order: number }
    return event.at < other.at || (event.at === other.at && event.order < other.order)
  }
}

/** Simulates one scenario; the same scenario gives the same outcome. */
export class RoutingModel {
  readonly #scenario: Scenario
  readonly #random: Random
  readonly #events = new EventQueue()
  readonly #gateways: Gateway[] = []
  readonly #busySlots: number[] = Array.from({ length: ENDPOINTS }, () => 0)
  readonly #durations: Histogram = build({ highestTrackableValue: MAX_DURATION_US, numberOfSignificantValueDigits: 3 })
  #refused = 0
  #refusals = 0
  #hops = 0

  constructor (scenario: Scenario) {
    this.#scenario = scenario
    this.#random = new SeededRandom(scenario.seed)
    const gateways = Array.from({ length: GATEWAYS }, (_, index) => gatewayOf(index))
    const endpoints = Array.from({ length: ENDPOINTS }, (_, index) => endpointOf(index))
    for (const { member } of gateways) {
      const pool = new EndpointPool()
      pool.update(endpoints.filter(endpoint => ownerOfEndpoint(endpoint, gateways) === member))
      this.#gateways.push({ member, pool, waiting: [], outstanding: endpoints.map(() => 0), reportedSpare: new Map() })
    }
  }

  run (): Outcome {
    this.#scheduleArrival(0)
    this.#events.run()
    const { requests } = this.#scenario
    const percentile = (share: number): number => this.#durations.getValueAtPercentile(share) / 1_000
    return {
      p50: percentile(50),
      p99: percentile(99),
      p999: percentile(99.9),
      refusedShare: this.#refused / requests,
      refusalsPerRequest: this.#refusals / requests,
      hopsPerRequest: this.#hops / requests
    }
  }

  #scheduleArrival (id: number): void {
    if (id === this.#scenario.requests) return
    const gap = MEAN_SERVICE_MS / (this.#scenario.load * ENDPOINTS * SLOTS)
    this.#events.after(-Math.log(1 - this.#random.fraction()) * gap, () => {
      const isSkewed = this.#scenario.isSkewed && this.#random.fraction() < SKEWED_SHARE
      const gateway = isSkewed ? 0 : this.#random.below(GATEWAYS)
      const request: Request = { id, arrivedAt: this.#events.now, serviceMs: this.#sampleServiceMs(), hops: 0, refusals: 0, isWaiting: false }
      if (this.#scenario.routing.startsWith('owned')) this.#routeOwned(gateway, request)
      else this.#routeByTwoChoices(gateway, request)
      this.#scheduleArrival(id + 1)
    })
  }

  // Pareto distribution: most requests are short, a few take a hundred times as long.
  #sampleServiceMs (): number {
    const shortest = MEAN_SERVICE_MS * (PARETO_SHAPE - 1) / PARETO_SHAPE
    return Math.min(PARETO_CAP_MS, shortest / (1 - this.#random.fraction()) ** (1 / PARETO_SHAPE))
  }

  #routeOwned (index: number, request: Request): void {
    if (this.#serveFromOwnSlots(index, request, index)) return
    if (this.#scenario.routing === 'owned-alone') this.#wait(index, request)
    else this.#forwardToPeer(index, request, new Set([index]))
  }

  #forwardToPeer (index: number, request: Request, triedGateways: Set<number>): void {
    if (triedGateways.size > MAX_PEERS_TRIED) return this.#waitAtShortestQueue(index, request)
    const gateway = this.#gateways[index] as Gateway
    const peer = this.#choosePeer(index, triedGateways)
    triedGateways.add(peer)
    request.hops++
    this.#events.after(ONE_WAY_MS, () => {
      const isServed = this.#serveFromOwnSlots(peer, request, index)
      if (isServed) return
      this.#events.after(ONE_WAY_MS, () => {
        gateway.reportedSpare.set(peer, this.#spareSlots(peer))
        this.#forwardToPeer(index, request, triedGateways)
      })
    })
  }

  #serveFromOwnSlots (index: number, request: Request, origin: number): boolean {
    const { pool, waiting } = this.#gateways[index] as Gateway
    if (waiting.length > 0) return false
    const endpoint = pool.acquire({ tried: new Set() }, brand<Instant>(this.#events.now))
    if (endpoint === undefined) return false
    this.#serve(index, endpoint.id, request, origin)
    return true
  }

  #serve (index: number, endpoint: EndpointId, request: Request, origin: number): void {
    const gateway = this.#gateways[index] as Gateway
    const returnMs = origin === index ? 0 : ONE_WAY_MS
    this.#events.after(2 * ONE_WAY_MS + request.serviceMs, () => {
      gateway.pool.release(endpoint, 'answered', brand<Instant>(this.#events.now))
      if (origin !== index) this.#gateways[origin]?.reportedSpare.set(index, this.#spareSlots(index))
      this.#events.after(returnMs, () => this.#finish(request))
      this.#serveWaiting(index)
    })
  }

  #choosePeer (index: number, triedGateways: ReadonlySet<number>): number {
    const { reportedSpare } = this.#gateways[index] as Gateway
    const isWeightedBySlots = this.#scenario.routing === 'owned'
    const others: number[] = []
    for (const [other, { pool }] of this.#gateways.entries()) {
      if (triedGateways.has(other)) continue
      for (let count = isWeightedBySlots ? pool.endpoints.length : 1; count > 0; count--) others.push(other)
    }
    const draw = (): number => others[this.#random.below(others.length)] as number
    const [first, second] = [draw(), draw()]
    return (reportedSpare.get(second) ?? 1) > (reportedSpare.get(first) ?? 1) ? second : first
  }

  // Free slots less waiting requests; for the routing `owned` as a share of the slots.
  #spareSlots (index: number): number {
    const { pool, waiting } = this.#gateways[index] as Gateway
    const spare = waiting.length > 0 ? -waiting.length : pool.freeSlots(brand<Instant>(this.#events.now))
    return this.#scenario.routing === 'owned' ? spare / Math.max(1, pool.slots) : Math.max(0, spare)
  }

  #waitAtShortestQueue (index: number, request: Request): void {
    const isWeightedBySlots = this.#scenario.routing === 'owned'
    const peer = isWeightedBySlots ? this.#choosePeer(index, new Set([index])) : index
    const { reportedSpare } = this.#gateways[index] as Gateway
    if (peer === index || this.#spareSlots(index) >= (reportedSpare.get(peer) ?? 1)) return this.#wait(index, request)
    request.hops++
    this.#events.after(ONE_WAY_MS, () => {
      this.#wait(peer, request)
      reportedSpare.set(peer, this.#spareSlots(peer))
    })
  }

  #wait (index: number, request: Request): void {
    const gateway = this.#gateways[index] as Gateway
    const expectedMs = gateway.waiting.length / gateway.pool.slots * MEAN_SERVICE_MS
    if (expectedMs > MAX_WAIT_MS) return this.#refuse(request)
    if (this.#serveFromOwnSlots(index, request, index)) return
    request.isWaiting = true
    gateway.waiting.push(request)
    this.#events.after(MAX_WAIT_MS, () => {
      if (!request.isWaiting) return
      request.isWaiting = false
      gateway.waiting.splice(gateway.waiting.indexOf(request), 1)
      this.#refuse(request)
    })
  }

  #serveWaiting (index: number): void {
    const { waiting, pool } = this.#gateways[index] as Gateway
    const now = brand<Instant>(this.#events.now)
    while (waiting.length > 0) {
      const endpoint = pool.acquire({ tried: new Set() }, now)
      if (endpoint === undefined) return
      const request = waiting.shift() as Request
      request.isWaiting = false
      this.#serve(index, endpoint.id, request, index)
    }
  }

  #routeByTwoChoices (index: number, request: Request): void {
    const { outstanding } = this.#gateways[index] as Gateway
    const [first, second] = [this.#random.below(ENDPOINTS), this.#random.below(ENDPOINTS)]
    const chosen = (outstanding[second] as number) < (outstanding[first] as number) ? second : first
    outstanding[chosen] = (outstanding[chosen] as number) + 1
    const removeOutstanding = (): void => { outstanding[chosen] = (outstanding[chosen] as number) - 1 }
    this.#events.after(ONE_WAY_MS, () => {
      const isFull = (this.#busySlots[chosen] as number) >= SLOTS
      if (!isFull) this.#busySlots[chosen] = (this.#busySlots[chosen] as number) + 1
      const serviceMs = isFull ? 0 : request.serviceMs
      this.#events.after(serviceMs, () => {
        if (!isFull) this.#busySlots[chosen] = (this.#busySlots[chosen] as number) - 1
        this.#events.after(ONE_WAY_MS, () => {
          removeOutstanding()
          if (isFull) this.#retry(index, request)
          else this.#finish(request)
        })
      })
    })
  }

  #retry (index: number, request: Request): void {
    request.refusals++
    const isRetriedUntilDeadline = this.#scenario.routing === 'two-choices-patient'
    const isOver = isRetriedUntilDeadline ? this.#events.now - request.arrivedAt > MAX_WAIT_MS : request.refusals >= MAX_TRIES
    if (isOver) return this.#refuse(request)
    const pauseMs = isRetriedUntilDeadline && request.refusals >= MAX_TRIES ? this.#random.fraction() * MAX_RETRY_PAUSE_MS : 0
    this.#events.after(pauseMs, () => this.#routeByTwoChoices(index, request))
  }

  #finish (request: Request): void {
    this.#addTotals(request)
    this.#durations.recordValue(Math.min(MAX_DURATION_US, Math.round((this.#events.now - request.arrivedAt) * 1_000)))
  }

  #refuse (request: Request): void {
    this.#addTotals(request)
    this.#refused++
  }

  #addTotals (request: Request): void {
    this.#hops += request.hops
    this.#refusals += request.refusals
  }
}

const gatewayOf = (index: number): LiveGateway =>
  ({ member: brand<MemberId>(`entry-${index}`), dataCentre: brand<DataCentre>(DATA_CENTRES[index % DATA_CENTRES.length] as string) })

const endpointOf = (index: number): Endpoint => ({
  id: brand<EndpointId>(`stockline-${index}/1`),
  service: brand<ServiceName>('stockline'),
  vm: brand<VmId>(`vm-${index}`),
  dataCentre: brand<DataCentre>(DATA_CENTRES[index % DATA_CENTRES.length] as string),
  address: `127.0.0.1:${index + 1}`,
  slots: SLOTS,
  connections: 64,
  isLeaving: false
})
