/** Interval at which a member renews its lease, in milliseconds. */
export const MEMBER_RENEW_MS = 3_000
/** Duration of a member's lease, counted from when its last renewal was sent, in milliseconds. */
export const MEMBER_LEASE_MS = 10_500
/** Safety margin that every member but the holder adds before it treats a lease as expired, in milliseconds. */
export const MEMBER_LEASE_MARGIN_MS = 1_000
/** Interval at which the rows of members and cells are polled, in milliseconds. */
export const DIRECTORY_POLL_MS = 1_000
/** Interval at which the store is polled for the version of the configuration, in milliseconds. */
export const CONFIGURATION_POLL_MS = 2_000
/** Interval between heartbeats on a peer connection, in milliseconds. */
export const PEER_HEARTBEAT_MS = 2_000
/** Time without a received frame after which a peer connection is closed, in milliseconds. */
export const PEER_IDLE_TIMEOUT_MS = 6_000
/** Timeout of a request to a peer and of each handshake step, in milliseconds. */
export const PEER_REPLY_TIMEOUT_MS = 10_000
/** Shortest delay before a closed peer connection is opened again, in milliseconds; jitter adds up to as much again. */
export const PEER_RECONNECT_MS = 500
/** Largest message on a peer connection, in bytes. */
export const MAX_PEER_MESSAGE_BYTES = 16 * 1024 * 1024
/** Flow-control window of a stream: bytes that may be sent before the reader has consumed them. */
export const PEER_STREAM_WINDOW_BYTES = 256 * 1024
/** Newest supported version of the protocol between members. */
export const PEER_PROTOCOL = 1
/** Oldest supported version of the protocol, so that two consecutive releases can run together. */
export const OLDEST_PEER_PROTOCOL = 1
/** Unsent bytes on one peer connection above which notices are dropped and requests are refused. */
export const MAX_PEER_BUFFER_BYTES = 8 * 1024 * 1024
/** Deadline for retrying the transaction of a release note or of a cell claim, in milliseconds. */
export const STORE_DEADLINE_MS = 10_000
/** Attempts to merge a note while other notes are accepted concurrently. */
export const MAX_NOTE_MERGES = 50
/** Deadline for retrying one renewal of a member's lease, in milliseconds. */
export const LEASE_DEADLINE_MS = 2_000
/** Interval at which a member checks whether its renewal is due, in milliseconds. */
export const MEMBER_RENEW_CHECK_MS = 250
/** Longest gap between two reads of the members' rows across which a row counts as unchanged, in milliseconds. */
export const MEMBER_READ_GAP_MS = 7_000
/** How long a member's row stays unchanged before it is removed, in milliseconds. */
export const MEMBER_ROW_RETENTION_MS = 60_000
/** Interval at which peers are polled for the configuration while the store is unavailable, in milliseconds. */
export const PEER_CONFIGURATION_POLL_MS = 1_000
/** Time without a successful read after which the store counts as unavailable and peers are polled, in milliseconds. */
export const STORE_UNAVAILABLE_MS = 3_000
/** Time without a reply from the store or a peer after which the configuration may be stale, in milliseconds. */
export const CONFIGURATION_STALE_MS = 5_000
/** Configuration versions that are kept in full; the audit trail keeps the changes of every version. */
export const KEPT_CONFIGURATIONS = 100
/** Interval at which endpoints are compared with one other member, in milliseconds. */
export const ANTI_ENTROPY_INTERVAL_MS = 2_000
