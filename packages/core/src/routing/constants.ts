/** Consecutive failures after which an endpoint is ejected: it gets no requests for a while. */
export const FAILURES_TO_EJECT = 3
/** How long after a failure an endpoint is used only if no other has a free slot, in milliseconds. */
export const FAILURE_MEMORY_MS = 1_000
/** Duration of the first ejection, in milliseconds; each further one lasts twice as long. */
export const EJECTION_MS = 1_000
/** Longest ejection of an endpoint, in milliseconds. */
export const MAX_EJECTION_MS = 30_000
/** Largest share of a service's endpoints that may be ejected at a time. */
export const MAX_EJECTED_SHARE = 0.5
/** Slots of an endpoint after an ejection; each success doubles them. */
export const RAMP_UP_SLOTS = 1
/** How long an endpoint counts as leaving after it has refused a request for that reason, in milliseconds. */
export const LEAVING_MEMORY_MS = 30_000
/** Pause after an endpoint refused a request because other gateways used all its slots, in milliseconds. */
export const BUSY_PAUSE_MS = 20
/** Retries allowed per request, on average. */
export const RETRY_SHARE = 0.1
/** Most retries for which tokens may accumulate. */
export const MAX_RETRY_TOKENS = 10
/** Most tries of one request, the first included. */
export const MAX_TRIES = 3
/** Largest share of a queue that one caller may hold. */
export const CALLER_MAX_SHARE = 0.5
