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
