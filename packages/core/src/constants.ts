/** A worker's lease: how long tasks run on without a renewal, in milliseconds. */
export const WORKER_LEASE_MS = 15_000
/** Added to every lease that is waited out, for clocks that run apart, in milliseconds. */
export const LEASE_MARGIN_MS = 3_000
/** Time that a VM list must stay empty before it is believed, in milliseconds. */
export const EMPTY_LIST_MS = 60_000
/** Failed attempts after which a batch task counts as hopeless. */
export const MAX_ATTEMPTS_FAILED = 5
/** Most starts decided in one pass of placement. */
export const MAX_STARTS_PER_PASS = 256
/** VMs looked at for one placement. */
export const PLACEMENT_CANDIDATES = 12
/** Version of a cell's journal records and snapshots. */
export const CELL_FORMAT = 1
