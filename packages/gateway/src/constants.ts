/** Request header with the caller's name. */
export const CALLER_HEADER = 'auburnpin-caller'
/** Header with a session token, in requests and responses; `new` in a request starts a session. */
export const SESSION_HEADER = 'auburnpin-session'
/** Cookie with a session token. */
export const SESSION_COOKIE = 'auburnpin-session'
/** Value of the session header or cookie that starts a new session. */
export const NEW_SESSION = 'new'
/** Prefix of all headers that auburnpin defines. */
export const INTERNAL_PREFIX = 'auburnpin-'
/** Header with the request's id, sent to endpoints and returned to callers. */
export const REQUEST_ID_HEADER = 'auburnpin-request-id'
/** Response header with the outcome of a request that got no complete response: `not-run` or `unknown`. */
export const OUTCOME_HEADER = 'auburnpin-outcome'
/** Response header with which an endpoint refuses a request without running it; its value is the reason. */
export const REFUSED_HEADER = 'auburnpin-refused'
/** Value of the refusal header when the endpoint is stopping. */
export const REFUSED_LEAVING = 'leaving'
/** How long an idle endpoint connection is kept for reuse, in milliseconds. */
export const IDLE_REUSE_MS = 4_000
/** Largest body of an operator's request, in bytes. */
export const MAX_OPERATOR_BODY_BYTES = 4 * 1024 * 1024
/** Minimum value of Retry-After, in seconds. */
export const RETRY_AFTER_SECONDS = 1
/** Maximum value of Retry-After, in seconds. */
export const RETRY_AFTER_MAX_SECONDS = 30
/** Largest request body that is buffered so that it can be sent again, in bytes. */
export const MAX_REPLAY_BYTES = 64 * 1024
/** Other owners that are tried for a free slot before a request waits. */
export const MAX_PEERS_TRIED = 2
/** Connections from one gateway to one endpoint; nine gateways stay under 64 even if each were the owner in turn. */
export const SOCKETS_PER_ENDPOINT = 8
/** Interval of the checks for requests in progress while the server closes, in milliseconds. */
export const CLOSE_CHECK_INTERVAL_MS = 20
/** Consecutive checks without received bytes after which a closing gateway closes a connection. */
export const IDLE_CHECKS_BEFORE_CLOSE = 10
/** Weight of the latest request in the exponentially weighted mean of the time that a slot is held. */
export const SLOT_HOLD_EWMA_WEIGHT = 0.05
/** Interval at which a waiting queue rechecks for endpoints whose pause has ended, in milliseconds. */
export const POOL_CHECK_INTERVAL_MS = 25
/** Longest wait for the owner of a cell to confirm an operation, in milliseconds. */
export const OWNER_TIMEOUT_MS = 10_000
