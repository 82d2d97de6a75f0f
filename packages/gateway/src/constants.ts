/** Header that names the caller. */
export const CALLER_HEADER = 'auburnpin-caller'
/** Header that carries a session's token; `new` asks for a session. */
export const SESSION_HEADER = 'auburnpin-session'
/** Cookie that carries a session's token. */
export const SESSION_COOKIE = 'auburnpin-session'
/** Value of the session header that asks for a new session. */
export const NEW_SESSION = 'new'
/** Prefix of all headers between auburnpin, callers and endpoints. */
export const INTERNAL_PREFIX = 'auburnpin-'
/** Header that names the request towards endpoints and in answers. */
export const REQUEST_ID_HEADER = 'auburnpin-request-id'
/** Header that tells what became of a request that no endpoint answered. */
export const OUTCOME_HEADER = 'auburnpin-outcome'
/** Header by which an endpoint says that it did not run the request, and why. */
export const REFUSED_HEADER = 'auburnpin-refused'
/** Value of the refusal header of an endpoint that stops. */
export const REFUSED_LEAVING = 'leaving'
/** How long an idle endpoint connection is kept for reuse, in milliseconds. */
export const IDLE_REUSE_MS = 4_000
/** Largest body of an operator's request, in bytes. */
export const MAX_OPERATOR_BODY_BYTES = 4 * 1024 * 1024
/** Shortest time after which a refused caller may come back, in seconds. */
export const RETRY_AFTER_SECONDS = 1
/** Longest time that a refused caller is told to wait, in seconds. */
export const RETRY_AFTER_MAX_SECONDS = 30
/** Part of a body that is kept so that it can be sent again, in bytes. */
export const REPLAY_BYTES = 64 * 1024
/** Owners that are asked for a free slot before a request waits for one of its own gateway. */
export const MAX_PEERS_ASKED = 2
/** Connections that one gateway opens to one endpoint; nine gateways stay under 64 even if each were the owner in turn. */
export const SOCKETS_PER_ENDPOINT = 8
/** Time between two looks for requests in progress while closing, in milliseconds. */
export const CLOSING_LOOK_MS = 20
/** Looks at which a connection must have been quiet before a closing gateway cuts it. */
export const QUIET_LOOKS = 10
/** Weight of the last request in the running mean of how long a slot is held. */
export const HOLD_WEIGHT = 0.05
/** Time between two looks for slots that come free by themselves, in milliseconds. */
export const POOL_LOOK_MS = 25
/** Longest wait for the owner of a cell to confirm an operation, in milliseconds. */
export const OWNER_DEADLINE_MS = 10_000
