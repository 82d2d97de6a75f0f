/**
 * Inputs of the routing decisions.
 */
import type { DataCentre, EndpointId, MemberId } from '@auburnpin/common'

/** Constraints on the endpoint of a request. */
export type RouteConstraints = Readonly<{
  /** Endpoints already tried; used again only when no other has a free slot. */
  tried: ReadonlySet<EndpointId>
  /** The endpoint to which the caller's session is bound. */
  bound?: EndpointId
}>

/** Outcome of a request, as it counts for the health of its endpoint. */
export type RequestOutcome = 'answered' | 'failed' | 'refused-busy' | 'refused-leaving' | 'abandoned'

/** A live gateway, which can own endpoints. */
export type LiveGateway = Readonly<{ member: MemberId, dataCentre: DataCentre }>
