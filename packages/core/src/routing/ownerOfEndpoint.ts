/**
 * Assigns each endpoint to one gateway, which alone hands out its slots.
 */
import { rendezvousRank, type MemberId } from '@auburnpin/common'
import type { Endpoint } from '../cell/types.ts'
import type { LiveGateway } from './types.ts'

/**
 * The owner by rendezvous hashing over the gateways in the endpoint's data centre, or over all if it has none;
 * `undefined` without gateways.
 *
 * @example
 * const owner = ownerOfEndpoint(endpoint, liveGateways)
 */
export const ownerOfEndpoint = (endpoint: Endpoint, gateways: readonly LiveGateway[]): MemberId | undefined => {
  const near = gateways.filter(gateway => gateway.dataCentre === endpoint.dataCentre)
  const candidates = near.length > 0 ? near : gateways
  return rendezvousRank(endpoint.id, candidates.map(gateway => gateway.member))[0]
}
