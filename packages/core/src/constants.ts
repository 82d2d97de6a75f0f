/** A worker's lease: how long tasks run on without a renewal, in milliseconds. */
export const WORKER_LEASE_MS = 25_000
/** Added to every lease that is waited out, for clocks that run apart, in milliseconds. */
export const LEASE_MARGIN_MS = 3_000
/** Time that a VM list must stay empty before it is believed, in milliseconds. */
export const EMPTY_LIST_MS = 60_000
/** How long a finished, failed or cancelled task can be asked for, in milliseconds. */
export const FINAL_RETENTION_MS = 24 * 60 * 60 * 1_000
/** Finished, failed and cancelled tasks that a cell keeps at most, whatever their age. */
export const MAX_FINAL_TASKS = 20_000
/** Most tasks forgotten in one step. */
export const MAX_FORGOTTEN_PER_PASS = 256
/** Failed attempts after which a batch task counts as hopeless. */
export const MAX_ATTEMPTS_FAILED = 5
/** Most starts decided in one pass of placement. */
export const MAX_STARTS_PER_PASS = 256
/** VMs looked at for one placement. */
export const PLACEMENT_CANDIDATES = 12
/** Version of a cell's journal records and snapshots. */
export const CELL_FORMAT = 1
/** Shapes of waiting tasks tried per lane and pass of placement. */
export const LANE_SHAPES_PER_PASS = 32
/** Wait after which aging counts in full, in milliseconds. */
export const AGING_MS = 300_000
/** Share of its quota that a team is credited once aging counts in full. */
export const MAX_AGING_SHARE = 0.5
/** Longest time between two passes of placement over unchanged state, in milliseconds. */
export const MAX_IDLE_PASS_MS = 1_000
/** Loads, as shares of the declared processors, at which the bands of interference part. */
export const LOAD_BANDS = [0.4, 0.7] as const
/** Steps of load between 0 and 1 for which a service's ratio on its own is kept. */
export const BASE_LOAD_STEPS = 10
/** Time in which an estimate that is not renewed returns to the prior's doubt, in milliseconds. */
export const FORGET_MS = 3_600_000
/** Ratio of answer time to objective expected of a replica on its own. */
export const PRIOR_BASE_RATIO = 0.5
/** Standard deviation of the prior ratio. */
export const PRIOR_BASE_DEVIATION = 0.3
/** Ratio expected to be added by each core of a neighbour. */
export const PRIOR_RATIO_PER_CORE = 0.01
/** Standard deviation of the prior ratio per core. */
export const PRIOR_RATIO_PER_CORE_DEVIATION = 0.03
/** Standard deviation of a sample's ratio, as a share of it. */
export const SAMPLE_NOISE = 0.15
/** Share by which a learnt size moves towards each new sample. */
export const SIZE_LEARNING_RATE = 0.1
/** Distinct tasks that fail on a VM, none finishing, before it is quarantined. */
export const FAILED_TASKS_TO_QUARANTINE = 3
/** Distinct VMs on which a kind of task fails, none finishing, before the kind is blamed. */
export const FAILED_VMS_TO_BLAME_KIND = 3
/** First quarantine of a VM, in milliseconds. */
export const QUARANTINE_MS = 30_000
/** Longest quarantine of a VM, in milliseconds. */
export const MAX_QUARANTINE_MS = 600_000
/** Largest share of a cell's VMs in quarantine at a time. */
export const MAX_QUARANTINED_SHARE = 0.25
/** VMs looked at for one replica; more than for batch work, so that racks can be told apart. */
export const REPLICA_CANDIDATES = 64
/** Load assumed of a replica that has not been measured yet. */
export const DEFAULT_LOAD = 0.5
/** VMs looked at when room must be cleared for a task. */
export const CLEARING_CANDIDATES = 12
/** Time after which room that was not cleared is sought elsewhere, in milliseconds. */
export const CLEARING_TIMEOUT_MS = 10_000
/** Tasks for which room is cleared in one pass. */
export const MAX_CLEARINGS_PER_PASS = 64
/** Span whose evictions may be made at once, in milliseconds. */
export const EVICTION_BURST_MS = 60_000
/** Samples whose mean past the objective makes relief act. */
export const SAMPLES_TO_ACT = 3
/** Samples whose mean well within the objective lets a throttle be eased. */
export const SAMPLES_TO_EASE = 4
/** Ratio by which a service's mean must stay below the target before a throttle is eased. */
export const CALM_BELOW_TARGET = 0.05
/** Time after an easing in which suffering is put down to it, in milliseconds. */
export const RELAPSE_MS = 60_000
/** Smallest gain in share for which a throttle is eased. */
export const MIN_EASE_SHARE = 0.1
/** Time from an act until samples show its effect, in milliseconds. */
export const SETTLE_MS = 2_000
/** Ratio by which throttling aims below the limit up to which batch work is put beside a service. */
export const TARGET_BELOW_LIMIT = 0.05
/** Smallest share of its processors that a throttled task keeps. */
export const MIN_THROTTLE_SHARE = 0.1
/** Time between two evictions on one VM for a service's sake, in milliseconds. */
export const EVICTION_PAUSE_MS = 20_000
/** Evictions after which a task is only throttled for a service's sake. */
export const MAX_EVICTIONS_OF_TASK = 3
/** Wait after which batch work is placed even where a service is expected to suffer, in milliseconds. */
export const PATIENCE_MS = 60_000
/** Unrunnable tasks looked at again in one pass. */
export const MAX_REEXAMINED_PER_PASS = 256
/** Share of its throttle from which on a task counts as held back by it. */
export const THROTTLE_BOUND_SHARE = 0.9
/** Longest time that a replica waits for its successor to find room, in milliseconds. */
export const REPLACE_WAIT_MS = 120_000
/** The same on a VM that leaves, in milliseconds. */
export const LEAVING_WAIT_MS = 10_000
/** Time between telling gateways that a replica leaves and stopping it, in milliseconds. */
export const REPLICA_DRAIN_MS = 20_000
/** Kinds of task remembered as having finished in the cell, before all are forgotten. */
export const MAX_PROVEN_KINDS = 10_000
