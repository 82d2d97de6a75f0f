/** Step of the virtual clock and time between two ticks of a cell, in milliseconds. */
export const STEP_MS = 100
/** Delay between a cell's decision and the worker's action, in milliseconds. */
export const ACTION_DELAY_MS = 100
/** Time between two reports of a worker, in milliseconds. */
export const REPORT_INTERVAL_MS = 1_000
/** Time between two renewals of a worker's lease, in milliseconds. */
export const LEASE_RENEWAL_INTERVAL_MS = 3_000
/** Time between two usage samples of a worker, in milliseconds. */
export const USAGE_INTERVAL_MS = 2_000
/** Delay until the VM list omits a lost VM, in milliseconds. */
export const VM_LIST_LAG_MS = 5_000
/** Duration of a checkpoint, in milliseconds. */
export const CHECKPOINT_DURATION_MS = 500
/** Progress that a task loses, and repeats, when it resumes from a checkpoint, in milliseconds. */
export const RESUME_LOSS_MS = 2_000
/** Run time after which a failing task fails, in milliseconds. */
export const FAIL_AFTER_MS = 300
/** Time between two checks of the quotas, in milliseconds. */
export const QUOTA_CHECK_INTERVAL_MS = 10_000
/** Response times that are sampled per second of a replica at full load. */
export const LATENCY_SAMPLES_PER_SECOND = 6
/** Standard deviation of the logarithm of response times. */
export const LATENCY_LOG_DEVIATION = 0.5
/** Number of standard deviations between the median and the 99th percentile of a normal distribution. */
export const P99_DEVIATIONS = 2.326
/** Loads that separate the low, middle and high load band of a slowdown. */
export const LOAD_BAND_BOUNDS = [0.4, 0.7] as const
