/** Timeout of a call to the table service or object store, in milliseconds. */
export const STORE_TIMEOUT_MS = 8_000
/** Timeout of a call to a worker, in milliseconds. */
export const WORKER_TIMEOUT_MS = 2_000
/** Timeout of a read of the VM list, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 5_000
/** Largest response body that a client buffers, in bytes. */
export const MAX_RESPONSE_BYTES = 64 * 1024 * 1024
/** Format version of the envelope around each row and object. */
export const ENVELOPE_FORMAT = 1
/** Rows on one page when listing. */
export const LIST_PAGE_ROWS = 500
/** Rate limit of the whole region for table and object writes, per second. */
export const REGION_WRITES_PER_SECOND = 300
/** Rate limit of the whole region for table and object reads, per second. */
export const REGION_READS_PER_SECOND = 1_500
/** Number of processes that the region's rate limits are divided among until the members are known. */
export const ASSUMED_PROCESSES = 18
/** Period whose worth of calls an idle process may send in one burst, in milliseconds. */
export const BURST_WINDOW_MS = 250
/** Calls of one class that may wait for a rate limiter. */
export const MAX_WAITING_CALLS = 2_000
/** Longest time that a call waits for a rate limiter, in milliseconds. */
export const RATE_LIMIT_WAIT_MS = 5_000
/** Consecutive failures that open the circuit breaker. */
export const BREAKER_FAILURES = 5
/** Upper bound of the random pause after the circuit breaker first opens, in milliseconds; doubles with each failed probe. */
export const BREAKER_FIRST_PAUSE_MS = 200
/** Longest pause while the circuit breaker is open, before a probe is sent, in milliseconds. */
export const BREAKER_MAX_PAUSE_MS = 5_000
