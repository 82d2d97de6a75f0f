/** Time between two renewals of a member's row, in milliseconds. */
export const MEMBER_RENEW_MS = 3_000
/** How long a member's lease lasts after the start of its last renewal, in milliseconds. */
export const MEMBER_LEASE_MS = 10_500
/** Added by everyone but the holder before a member's lease counts as lapsed, in milliseconds. */
export const MEMBER_MARGIN_MS = 1_000
/** Time between two looks at the members' and cells' rows, in milliseconds. */
export const DIRECTORY_POLL_MS = 1_000
/** Time between two looks at the version of the configuration, in milliseconds. */
export const CONFIGURATION_POLL_MS = 2_000
/** Time between two heartbeats on a peer link, in milliseconds. */
export const PEER_HEARTBEAT_MS = 2_000
/** Silence after which a peer link is cut, in milliseconds. */
export const PEER_SILENCE_MS = 6_000
/** Longest wait for a peer's answer, in milliseconds. */
export const PEER_TIMEOUT_MS = 10_000
/** Wait before a lost peer link is opened again, in milliseconds. */
export const PEER_RETRY_MS = 500
/** Largest message on a peer link, in bytes. */
export const PEER_MESSAGE_BYTES = 16 * 1024 * 1024
/** Bytes that a stream may send ahead of its reader. */
export const PEER_STREAM_WINDOW_BYTES = 256 * 1024
/** Version of the messages between members. */
export const PEER_PROTOCOL = 1
/** Oldest version that a member still speaks, so that two neighbouring releases work side by side. */
export const OLDEST_PEER_PROTOCOL = 1
/** Bytes that may wait to be sent on one peer link before notices are dropped and questions refused. */
export const PEER_BUFFER_BYTES = 8 * 1024 * 1024
/** Longest time in which a release note or a claim is tried again, in milliseconds. */
export const STORE_DEADLINE_MS = 10_000
/** Tries to merge a note while others are accepted at the same time. */
export const MAX_REBASES = 50
/** Longest time in which one renewal of a member's lease is tried again, in milliseconds. */
export const LEASE_DEADLINE_MS = 2_000
/** Time between two looks at whether a member's renewal is due, in milliseconds. */
export const MEMBER_TICK_MS = 250
/** Longest time between two looks at the members' rows for which both still count as one watch, in milliseconds. */
export const SIGHTING_GAP_MS = 7_000
/** How long a member's row stands still before it is removed, in milliseconds. */
export const MEMBER_FORGET_MS = 60_000
/** Time between two looks at the peers' configurations while the store is silent, in milliseconds. */
export const PEER_POLL_MS = 1_000
/** Time without an answer of the store after which the peers are asked, in milliseconds. */
export const STORE_SILENCE_MS = 3_000
/** Time without an answer of store or peers after which a configuration may be out of date, in milliseconds. */
export const CONFIGURATION_TOUCH_MS = 5_000
/** Versions of the configuration that are kept whole; the audit trail keeps what each one changed. */
export const KEPT_CONFIGURATIONS = 100
/** Time between two comparisons of the endpoints with another member, in milliseconds. */
export const COMPARE_MS = 2_000
