/**
 * Which gateway hands out an endpoint's slots.
 */
import { rendezvousRank, type MemberId } from '@auburnpin/common'
import type { Endpoint } from '../cell/types.ts'
import type { GatewaySeat } from './types.ts'

/**
 * The owner by rendezvous hashing, one in the endpoint's data centre if there is any; `undefined` without gateways.
 *
 * @example
 * const owner = ownerOfEndpoint(endpoint, liveGateways)
 */
export const ownerOfEndpoint = (endpoint: Endpoint, gateways: readonly GatewaySeat[]): MemberId | undefined => {
  const near = gateways.filter(gateway => gateway.dataCentre === endpoint.dataCentre)
  const candidates = near.length > 0 ? near : gateways
  return rendezvousRank(endpoint.id, candidates.map(gateway => gateway.member))[0]
}
