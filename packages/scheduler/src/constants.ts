/** Time between two passes of placement of a cell, in milliseconds. */
export const TICK_MS = 100
/** Time between two looks at a worker, in milliseconds. */
export const REPORT_MS = 1_000
/** Time between two readings of a worker's usage, in milliseconds. */
export const USAGE_MS = 2_000
/** Time between two renewals of a worker's lease, in milliseconds. */
export const LEASE_RENEW_MS = 3_000
/** Longest time that a new owner waits for its workers before it publishes endpoints, in milliseconds. */
export const ENDPOINTS_SETTLE_MS = 4_000
/** Time between two readings of the VM list, in milliseconds. */
export const VM_LIST_POLL_MS = 1_000
/** Most transitions in one journal record. */
export const MAX_RECORD_TRANSITIONS = 256
/** Wait before a journal append is tried again while the store fails, in milliseconds. */
export const JOURNAL_RETRY_MS = 500
/** Time between two looks at which cells this member should own, in milliseconds. */
export const OWNERSHIP_MS = 1_000
/** By how many cells two members of a data centre differ before one is moved. */
export const REBALANCE_THRESHOLD = 2
/** How long an assignment stands unchanged before a cell is handed over for it, in milliseconds. */
export const REBALANCE_SETTLE_MS = 10_000
/** Shortest wait before a cell that could not be recovered is tried again, in milliseconds. */
export const FIRST_REOPEN_MS = 1_000
/** Longest wait before a cell that could not be recovered is tried again, in milliseconds. */
export const LONGEST_REOPEN_MS = 30_000
/** Steps that may wait for the journal before nothing more is decided or accepted. */
export const MAX_WAITING_STEPS = 1_024
/** Time that one journal record may take before nothing more is decided or accepted, in milliseconds. */
export const STALL_MS = 12_000
/** Calls to one worker at a time. */
export const VM_ACTIONS_AT_ONCE = 4
/** Calls to one worker that may wait; further ones are asked for again after its next report. */
export const MAX_VM_ACTIONS = 256
/** Transitions in the journal after which a snapshot is written, unless the cell has more tasks than that. */
export const SNAPSHOT_TRANSITIONS = 2_000
/** Snapshots kept; the journal is trimmed up to the oldest of them. */
export const SNAPSHOTS_KEPT = 2
/** Wait after a snapshot that could not be written, in milliseconds. */
export const SNAPSHOT_RETRY_MS = 10_000
/** Most journal records deleted in one transaction. */
export const TRIM_ROWS = 100
/** How long a member has held its lease before it claims cells, in milliseconds. */
export const JOIN_SETTLE_MS = 2_000
/** Time between two renewals of orphaned workers' leases while the store is down, in milliseconds. */
export const KEEPER_MS = 2_000
/** Least time between two journal records of a cell, unless a full one waits, in milliseconds. */
export const RECORD_INTERVAL_MS = 50
/** Time between two looks at whether a record is full, in milliseconds. */
export const GATHER_LOOK_MS = 10
