/**
 * Which gateway owns the slots of which endpoint, and which of the others probably has one free.
 */
import type { EndpointId, MemberId, Random, ServiceName } from '@auburnpin/common'
import { ownerOfEndpoint, type Endpoint, type GatewaySeat } from '@auburnpin/core'
import type { EndpointDirectory } from '@auburnpin/cluster'

/** Where the owners are found. */
export type OwnerPorts = Readonly<{
  self: MemberId
  /** Live gateways as this one sees them, itself included. */
  gateways: () => readonly GatewaySeat[]
  endpoints: EndpointDirectory
  random: Random
}>

const UNKNOWN_SPARE_SHARE = 1

/** Looks owners up and remembers what they said of their free slots. */
export class SlotOwners {
  readonly #ports: OwnerPorts
  readonly #spareShares = new Map<MemberId, number>()

  constructor (ports: OwnerPorts) {
    this.#ports = ports
  }

  /** The endpoints of a service that this gateway owns. */
  ownedOf (service: ServiceName): Endpoint[] {
    const seats = this.#ports.gateways()
    return this.#ports.endpoints.endpointsOf(service).filter(endpoint => ownerOfEndpoint(endpoint, seats) === this.#ports.self)
  }

  /** The owner of a session's endpoint; `undefined` when that takes nothing new. */
  ownerOfBound (service: ServiceName, id: EndpointId): MemberId | undefined {
    const endpoint = this.#ports.endpoints.endpointsOf(service).find(candidate => candidate.id === id)
    if (endpoint === undefined || endpoint.isLeaving) return undefined
    return ownerOfEndpoint(endpoint, this.#ports.gateways())
  }

  /** Of two other owners, drawn by their endpoints, the one with more to spare. */
  choosePeer (service: ServiceName, asked: ReadonlySet<MemberId>): MemberId | undefined {
    const seats = this.#ports.gateways()
    const candidates: MemberId[] = []
    for (const endpoint of this.#ports.endpoints.endpointsOf(service)) {
      const owner = endpoint.isLeaving ? undefined : ownerOfEndpoint(endpoint, seats)
      if (owner !== undefined && owner !== this.#ports.self && !asked.has(owner)) candidates.push(owner)
    }
    const first = this.#draw(candidates)
    const second = this.#draw(candidates)
    if (first === undefined || second === undefined) return first
    return this.spareOf(second) > this.spareOf(first) ? second : first
  }

  /** Takes in what an owner said of its free slots and waiting requests. */
  noteSpareShare (owner: MemberId, spareShare: number): void {
    this.#spareShares.set(owner, spareShare)
  }

  /** Free slots of an owner less waiting requests, as a share of its slots, as it last said. */
  spareOf (owner: MemberId): number {
    return this.#spareShares.get(owner) ?? UNKNOWN_SPARE_SHARE
  }

  #draw (candidates: MemberId[]): MemberId | undefined {
    return candidates[this.#ports.random.below(candidates.length)]
  }
}
