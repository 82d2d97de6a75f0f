/**
 * Which gateway owns which endpoint's slots, and which other gateway most likely has a free one.
 */
import type { EndpointId, MemberId, Random, ServiceName } from '@auburnpin/common'
import { ownerOfEndpoint, type Endpoint, type LiveGateway } from '@auburnpin/core'
import type { EndpointDirectory } from '@auburnpin/cluster'

/** Dependencies of the lookup. */
export type OwnerPorts = Readonly<{
  self: MemberId
  /** Live gateways in this gateway's membership view, itself included. */
  gateways: () => readonly LiveGateway[]
  endpoints: EndpointDirectory
  random: Random
}>

/** Assumed for owners that have not reported yet: all slots free. */
const DEFAULT_SPARE_SHARE = 1

/** Looks up owners and keeps the spare share that each last reported. */
export class SlotOwners {
  readonly #ports: OwnerPorts
  readonly #spareShares = new Map<MemberId, number>()

  constructor (ports: OwnerPorts) {
    this.#ports = ports
  }

  /** The endpoints of a service that this gateway owns. */
  ownedEndpointsOf (service: ServiceName): Endpoint[] {
    const gateways = this.#ports.gateways()
    return this.#ports.endpoints.endpointsOf(service).filter(endpoint => ownerOfEndpoint(endpoint, gateways) === this.#ports.self)
  }

  /** The owner of a session's endpoint; `undefined` when the endpoint is missing or leaving. */
  ownerOfSessionEndpoint (service: ServiceName, id: EndpointId): MemberId | undefined {
    const endpoint = this.#ports.endpoints.endpointsOf(service).find(candidate => candidate.id === id)
    if (endpoint === undefined || endpoint.isLeaving) return undefined
    return ownerOfEndpoint(endpoint, this.#ports.gateways())
  }

  /** Draws two other owners at random, weighted by their endpoints, and returns the one with the larger spare share. */
  choosePeer (service: ServiceName, tried: ReadonlySet<MemberId>): MemberId | undefined {
    const gateways = this.#ports.gateways()
    const candidates: MemberId[] = []
    for (const endpoint of this.#ports.endpoints.endpointsOf(service)) {
      const owner = endpoint.isLeaving ? undefined : ownerOfEndpoint(endpoint, gateways)
      if (owner !== undefined && owner !== this.#ports.self && !tried.has(owner)) candidates.push(owner)
    }
    const first = this.#pickRandom(candidates)
    const second = this.#pickRandom(candidates)
    if (first === undefined || second === undefined) return first
    return this.spareShareOf(second) > this.spareShareOf(first) ? second : first
  }

  /** Records the spare share that an owner reported. */
  recordSpareShare (owner: MemberId, spareShare: number): void {
    this.#spareShares.set(owner, spareShare)
  }

  /** An owner's last reported spare share: free slots minus waiting requests, as a fraction of its slots. */
  spareShareOf (owner: MemberId): number {
    return this.#spareShares.get(owner) ?? DEFAULT_SPARE_SHARE
  }

  #pickRandom (candidates: MemberId[]): MemberId | undefined {
    return candidates[this.#ports.random.below(candidates.length)]
  }
}
