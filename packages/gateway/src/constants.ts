/** Header that names the caller. */
export const CALLER_HEADER = 'auburnpin-caller'
/** Header that names the request towards endpoints and in answers. */
export const REQUEST_ID_HEADER = 'auburnpin-request-id'
/** Header that tells what became of a request that no endpoint answered. */
export const OUTCOME_HEADER = 'auburnpin-outcome'
/** Header by which an endpoint says that it did not run the request. */
export const REFUSED_HEADER = 'auburnpin-refused'
/** Most requests that wait for a slot of one service. */
export const MAX_QUEUED = 1_000
/** Tries of one request that surely was not run. */
export const MAX_TRIES = 3
/** Longest silence of an endpoint that works on a request, in milliseconds. */
export const ENDPOINT_IDLE_MS = 60_000
/** Longest time to connect to an endpoint, in milliseconds. */
export const CONNECT_MS = 2_000
/** How long an idle endpoint connection is kept for reuse, in milliseconds. */
export const IDLE_REUSE_MS = 4_000
/** Largest body of an operator's request, in bytes. */
export const MAX_OPERATOR_BODY_BYTES = 4 * 1024 * 1024
/** When a refused caller may come back, in seconds. */
export const RETRY_AFTER_SECONDS = 1
