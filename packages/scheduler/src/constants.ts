/** Interval between placement passes of a cell, in milliseconds. */
export const TICK_INTERVAL_MS = 100
/** Interval between status reports requested from a worker, in milliseconds. */
export const REPORT_INTERVAL_MS = 1_000
/** Interval between reads of a worker's usage samples, in milliseconds. */
export const USAGE_INTERVAL_MS = 2_000
/** Interval between renewals of a worker's lease, in milliseconds. */
export const LEASE_RENEWAL_INTERVAL_MS = 3_000
/** Maximum time that a new owner waits for the first reports of its workers before it publishes endpoints, in milliseconds. */
export const INITIAL_REPORTS_TIMEOUT_MS = 4_000
/** Interval between reads of the VM list, in milliseconds. */
export const VM_LIST_POLL_INTERVAL_MS = 1_000
/** Maximum number of transitions in one journal record. */
export const MAX_RECORD_TRANSITIONS = 256
/** Delay before a failed journal append is retried, in milliseconds. */
export const JOURNAL_RETRY_DELAY_MS = 500
/** Interval between checks of which cells this member should own, in milliseconds. */
export const OWNERSHIP_CHECK_INTERVAL_MS = 1_000
/** Difference between the cell counts of two members of a data centre at which a cell is moved. */
export const REBALANCE_THRESHOLD = 2
/** Time for which an assignment must be unchanged before a cell is handed over to follow it, in milliseconds. */
export const REBALANCE_DELAY_MS = 10_000
/** Delay before the first retry of a failed cell recovery, in milliseconds; it doubles with each failure. */
export const MIN_REOPEN_DELAY_MS = 1_000
/** Maximum delay between retries of a failed cell recovery, in milliseconds. */
export const MAX_REOPEN_DELAY_MS = 30_000
/** Number of steps waiting for the journal at which the cell stops making decisions and accepting requests. */
export const MAX_PENDING_STEPS = 1_024
/** Write time of a journal record after which the cell stops making decisions and accepting requests, in milliseconds. */
export const JOURNAL_STALL_TIMEOUT_MS = 12_000
/** Maximum number of concurrent calls to one worker. */
export const MAX_CONCURRENT_VM_ACTIONS = 4
/** Maximum number of unanswered calls to one worker, queued ones included; actions dropped beyond it are repeated after the next report. */
export const MAX_PENDING_VM_ACTIONS = 256
/** Number of transitions after which a snapshot is written; cells with more tasks wait for as many transitions as tasks. */
export const SNAPSHOT_MIN_TRANSITIONS = 2_000
/** Number of snapshots kept per cell; the journal is trimmed up to the oldest of them. */
export const SNAPSHOTS_KEPT = 2
/** Delay before the next snapshot after a failed one, in milliseconds. */
export const SNAPSHOT_RETRY_DELAY_MS = 10_000
/** Maximum number of journal records deleted in one transaction. */
export const TRIM_BATCH_ROWS = 100
/** Time for which a member must have held its lease before it claims cells, in milliseconds. */
export const JOIN_DELAY_MS = 2_000
/** Interval between lease renewals for workers without a reachable owner while the store is unavailable, in milliseconds. */
export const ORPHAN_RENEWAL_INTERVAL_MS = 2_000
/** Minimum interval between two journal records of a cell unless a full one is pending, in milliseconds. */
export const RECORD_INTERVAL_MS = 50
/** Interval between checks of whether a pending journal record is full, in milliseconds. */
export const BATCH_POLL_INTERVAL_MS = 10
