/** Failures in a row after which an endpoint leaves the choice. */
export const OUTLIER_FAILURES = 3
/** How long an endpoint stays out of the choice the first time, in milliseconds. */
export const OUTLIER_PAUSE_MS = 1_000
/** Longest time that an endpoint stays out of the choice, in milliseconds. */
export const OUTLIER_PAUSE_MAX_MS = 30_000
/** Largest share of a service's endpoints that may be out of the choice at a time. */
export const OUTLIER_MAX_SHARE = 0.5
/** Slots given to an endpoint that comes back into the choice; each success doubles them. */
export const RETURN_SLOTS = 1
/** How long an endpoint's own word that it leaves is remembered, in milliseconds. */
export const LEAVING_MEMORY_MS = 30_000
/** Pause after an endpoint refused because its slots were taken by another gateway, in milliseconds. */
export const BUSY_PAUSE_MS = 20
/** Retries allowed per request, on average. */
export const RETRY_SHARE = 0.1
/** Most retries that may be saved up. */
export const RETRY_RESERVE = 10
/** Tries of one request, the first included. */
export const MAX_TRIES = 3
/** Largest share of a queue that one caller may hold. */
export const CALLER_MAX_SHARE = 0.5
