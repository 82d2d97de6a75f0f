/** How long a worker's lease lasts and its tasks run on without a renewal, in milliseconds. */
export const WORKER_LEASE_MS = 25_000
/** Added whenever the expiry of a lease is waited for, to allow for clock drift, in milliseconds. */
export const LEASE_MARGIN_MS = 3_000
/** Time after which a call that got no response is carried out no more. */
export const MAX_CALL_DELAY_MS = 12_000
/** Time that the VM list must stay empty before its VMs count as removed, in milliseconds. */
export const EMPTY_LIST_CONFIRMATION_MS = 60_000
/** How long finished, failed and cancelled tasks are kept for queries, in milliseconds. */
export const FINAL_RETENTION_MS = 24 * 60 * 60 * 1_000
/** Most finished, failed and cancelled tasks that a cell keeps, whatever their age. */
export const MAX_FINAL_TASKS = 20_000
/** Most final tasks removed in one pass. */
export const MAX_REMOVED_PER_PASS = 256
/** Failed attempts after which a batch task is not tried again. */
export const MAX_FAILED_ATTEMPTS = 5
/** Crashes of workers within `MIN_SURVIVAL_MS` of a start, in a row, after which a task is given up. */
export const CRASHES_TO_GIVE_UP = 3
/** Time for which an attempt must have been seen running for a later crash of its worker not to count, in milliseconds. */
export const MIN_SURVIVAL_MS = 500
/** Wait after which a task that may be given up at the next crash is started beside other starts that nothing is known against, in milliseconds. */
export const MAX_TRIAL_WAIT_MS = 30_000
/** Most starts decided in one placement pass. */
export const MAX_STARTS_PER_PASS = 256
/** VMs examined for one placement. */
export const PLACEMENT_CANDIDATES = 12
/** Format version of a cell's journal records and snapshots. */
export const CELL_FORMAT = 1
/** Equivalence classes of waiting tasks tried per queue and placement pass. */
export const EQUIVALENCE_CLASSES_PER_PASS = 32
/** Wait after which a team's aging credit reaches its maximum, in milliseconds. */
export const AGING_MS = 300_000
/** Maximum aging credit, as a share of the team's quota. */
export const MAX_AGING_SHARE = 0.5
/** Longest time between two placement passes over unchanged state, in milliseconds. */
export const MAX_IDLE_PASS_MS = 1_000
/** Bounds between the load bands for which interference is estimated separately, as shares of the declared processors. */
export const LOAD_BANDS = [0.4, 0.7] as const
/** Steps of load between 0 and 1 for which a service's ratio without neighbours is estimated separately. */
export const BASE_LOAD_STEPS = 10
/** Time in which the variance of an estimate without new samples returns to the prior variance, in milliseconds. */
export const VARIANCE_RECOVERY_MS = 3_600_000
/** Prior mean of the latency ratio (99th percentile over objective) of a replica without neighbours. */
export const PRIOR_BASE_RATIO = 0.5
/** Standard deviation of the prior latency ratio. */
export const PRIOR_BASE_DEVIATION = 0.3
/** Prior mean of the amount that each core of a neighbour adds to the latency ratio. */
export const PRIOR_RATIO_PER_CORE = 0.01
/** Standard deviation of the prior amount per core. */
export const PRIOR_RATIO_PER_CORE_DEVIATION = 0.03
/** Standard deviation of a sampled latency ratio, as a share of it. */
export const SAMPLE_DEVIATION_SHARE = 0.15
/** Weight of a new sample in the moving average of processors in use. */
export const USAGE_LEARNING_RATE = 0.1
/** Distinct tasks that fail on a VM, with none finished in between, before the VM is quarantined. */
export const FAILED_TASKS_TO_QUARANTINE = 3
/** Distinct VMs on which a workload kind fails, with none finished in between, before its failures no longer count against VMs. */
export const FAILED_VMS_TO_BLAME_WORKLOAD = 3
/** First quarantine of a VM, in milliseconds. */
export const QUARANTINE_MS = 30_000
/** Longest quarantine of a VM, in milliseconds. */
export const MAX_QUARANTINE_MS = 600_000
/** Largest share of a cell's VMs in quarantine at a time. */
export const MAX_QUARANTINED_SHARE = 0.25
/** VMs examined for one replica; more than for batch tasks, so that several racks are among them. */
export const REPLICA_CANDIDATES = 64
/** Load assumed for a replica without samples. */
export const DEFAULT_LOAD = 0.5
/** VMs examined when batch tasks must be evicted to place a task. */
export const EVICTION_CANDIDATES = 12
/** Time after which a reservation whose capacity has not been freed is moved to another VM, in milliseconds. */
export const RESERVATION_TIMEOUT_MS = 10_000
/** Most tasks of each priority queue for which capacity is reserved by evictions in one pass. */
export const MAX_RESERVATIONS_PER_PASS = 64
/** Length of the period whose whole budget of evictions to protect services may be spent at once, in milliseconds. */
export const EVICTION_BURST_MS = 60_000
/** Samples whose mean must be over the objective before batch tasks are throttled or evicted. */
export const SAMPLES_TO_ACT = 3
/** Samples whose mean must be well below the target before throttles are relaxed. */
export const SAMPLES_TO_RELAX = 4
/** Difference by which a service's mean latency ratio must be below the target before throttles are relaxed. */
export const RELAX_BELOW_TARGET = 0.05
/** Time after throttles were relaxed in which a missed objective counts as a result of that, in milliseconds. */
export const RELAX_FAILURE_MS = 60_000
/** Smallest gain for which a throttle is relaxed, as a share of the task's cores. */
export const MIN_RELAX_SHARE = 0.1
/** Time from an action until samples show its effect, in milliseconds. */
export const SETTLE_MS = 2_000
/** Difference by which the latency ratio that throttling aims at is below the limit for placing batch tasks. */
export const TARGET_BELOW_LIMIT = 0.05
/** Smallest share of its cores that a throttled task keeps. */
export const MIN_THROTTLE_SHARE = 0.1
/** Time between two evictions on one VM that protect services, in milliseconds. */
export const EVICTION_PAUSE_MS = 20_000
/** Evictions after which a task is only throttled, not evicted, to protect services. */
export const MAX_EVICTIONS_OF_TASK = 3
/** Wait after which a batch task is placed even where it is predicted to slow a service down, in milliseconds. */
export const MAX_AVOIDANCE_MS = 60_000
/** Most unrunnable tasks examined again in one pass. */
export const MAX_REEXAMINED_PER_PASS = 256
/** A throttled task that uses more than this share of its allowed cores counts as limited by the throttle. */
export const THROTTLE_BOUND_SHARE = 0.9
/** Longest time that a replica runs on while its replacement can't be placed, in milliseconds. */
export const MAX_REPLACEMENT_WAIT_MS = 120_000
/** The same for a replica on a VM that is leaving, in milliseconds. */
export const MAX_LEAVING_WAIT_MS = 10_000
/** Time from announcing to gateways that a replica leaves until it is stopped, in milliseconds. */
export const REPLICA_DRAIN_MS = 20_000
/** Most workload kinds recorded as having finished in the cell; at the limit all are discarded. */
export const MAX_PROVEN_WORKLOADS = 10_000
