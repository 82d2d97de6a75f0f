/**
 * How members know each other and agree: leases, peer links, cell ownership, configuration.
 */
export type * from './types.ts'
export * from './constants.ts'
export * from './storeKeys.ts'
export { Peers, type NoticeHandler, type RequestHandler } from './Peers.ts'
export { PeerStream, type StreamPart } from './PeerStream.ts'
export { PeerStreams, type StreamFrame } from './PeerStreams.ts'
export { StreamPeers, type StreamHandler } from './StreamPeers.ts'
export { WebSocketPeers, type PeerOptions } from './WebSocketPeers.ts'
export { acceptNote, readAcceptance, readConfiguration, readCurrent, type Acceptance, type AcceptancePorts } from './acceptNote.ts'
export { ConfigurationFollower } from './ConfigurationFollower.ts'
export { Membership, type MemberIdentity } from './Membership.ts'
export { CellDirectory, type CellSighting } from './CellDirectory.ts'
export { claimCell, releaseCell, type ClaimedCell } from './claimCell.ts'
export { EndpointDirectory } from './EndpointDirectory.ts'
export { callClassOf } from './callClassOf.ts'
export { MemberSightings, type MemberSighting } from './MemberSightings.ts'
