/** Longest wait for an answer of the table service or object store, in milliseconds. */
export const STORE_TIMEOUT_MS = 8_000
/** Longest wait for an answer of a worker, in milliseconds. */
export const WORKER_TIMEOUT_MS = 2_000
/** Longest wait for the VM list, in milliseconds. */
export const VM_LIST_TIMEOUT_MS = 5_000
/** Largest answer that a client takes into memory, in bytes. */
export const MAX_ANSWER_BYTES = 64 * 1024 * 1024
/** Version of the envelope round each row and object. */
export const ENVELOPE_FORMAT = 1
/** Rows asked for at a time when listing. */
export const LIST_PAGE_ROWS = 500
/** Table and object writes that the whole region may make, per second. */
export const REGION_WRITES_PER_SECOND = 300
/** Table and object reads that the whole region may make, per second. */
export const REGION_READS_PER_SECOND = 1_500
/** Processes among which the region's budget is shared until the members are known. */
export const ASSUMED_MEMBERS = 18
/** How much of its rate an idle process may save up for a burst, in milliseconds. */
export const BURST_MS = 250
/** Calls of one class that may wait for the budget in one process. */
export const MAX_WAITING_CALLS = 2_000
/** Longest wait for the budget, in milliseconds. */
export const BUDGET_WAIT_MS = 5_000
/** Failures in a row after which the store counts as down. */
export const BREAKER_FAILURES = 5
/** Shortest pause before a store that was down is tried again, in milliseconds. */
export const FIRST_PAUSE_MS = 200
/** Longest pause before a store that was down is tried again, in milliseconds. */
export const LONGEST_PAUSE_MS = 5_000
