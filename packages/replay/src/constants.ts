/** Step of the virtual clock: the time between two ticks of a cell, in milliseconds. */
export const STEP_MS = 100
/** From a decision until the worker acts on it, in milliseconds. */
export const ACTION_DELAY_MS = 100
/** Time between two reports of a worker, in milliseconds. */
export const REPORT_MS = 1_000
/** Time between two renewals of a worker's lease, in milliseconds. */
export const LEASE_RENEW_MS = 3_000
/** Time between two usage samples of a worker, in milliseconds. */
export const USAGE_MS = 2_000
/** From a VM's loss until the VM list shows it, in milliseconds. */
export const VM_LIST_LAG_MS = 5_000
/** Time that a checkpoint takes, in milliseconds. */
export const CHECKPOINT_MS = 500
/** Progress that a task repeats when it resumes from a checkpoint, in milliseconds. */
export const RESUME_LOSS_MS = 2_000
/** Time until a task that fails does so, in milliseconds. */
export const FAIL_AFTER_MS = 300
/** Time between two looks at quotas, in milliseconds. */
export const QUOTA_LOOK_MS = 10_000
/** Draws of answer times per second of a replica at full load. */
export const DRAWS_PER_SECOND = 6
/** Deviation of the logarithm of answer times. */
export const ANSWER_DEVIATION = 0.5
/** Standard deviations between the median and the 99th percentile. */
export const P99_DEVIATIONS = 2.326
/** Loads at which the bands of a slowdown part. */
export const SLOWDOWN_BANDS = [0.4, 0.7] as const
