/**
 * What the routing decisions are made from.
 */
import type { DataCentre, EndpointId, MemberId } from '@auburnpin/common'

/** Where a request may go. */
export type Route = Readonly<{
  /** Endpoints that it has already tried; used again only when there is no other. */
  tried: ReadonlySet<EndpointId>
  /** The endpoint of its session. */
  bound?: EndpointId
}>

/** How a request ended, as seen by the endpoint's record. */
export type EndpointReport = 'answered' | 'failed' | 'refused-busy' | 'refused-leaving' | 'abandoned'

/** A live gateway, as a candidate for the ownership of endpoints. */
export type GatewaySeat = Readonly<{ member: MemberId, dataCentre: DataCentre }>
