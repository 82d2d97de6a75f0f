/** VMs in each data centre that run no endpoint; one of them is drained while it runs a task. */
export const SPARE_VMS_PER_DATA_CENTRE = 2
/** VMs in each data centre. */
export const VMS_PER_DATA_CENTRE = 3
/** Cores of each VM. */
export const VM_PROCESSORS = 32
/** Memory of each VM, in megabytes. */
export const VM_MEMORY_MB = 125_000
/** Requests that all callers send in total. */
export const REQUEST_COUNT = 600
/** Callers that send requests concurrently. */
export const CONCURRENT_CALLERS = 16
/** One request in this many is not idempotent: it must be processed at most once. */
export const NON_IDEMPOTENT_INTERVAL = 3
/** Number of batch jobs that are submitted. */
export const JOB_COUNT = 30
/** Run time of a submitted job, in milliseconds. */
export const JOB_DURATION_MS = 300
/** Run time of a declared long task, in milliseconds. */
export const LONG_TASK_DURATION_MS = 4_000
/** Longest wait for one condition, in milliseconds. */
export const WAIT_TIMEOUT_MS = 20_000
/** Time between two checks of a condition that is waited for, in milliseconds. */
export const POLL_INTERVAL_MS = 100
/** Longest response time that the histogram records, in milliseconds. */
export const MAX_RECORDED_MS = 60_000
/** Token of the demo's operator. */
export const OPERATOR_TOKEN = 'demo-operator-token'
/** Configuration version after the demo's two release notes: the declarations and the drain. */
export const FINAL_CONFIG_VERSION = 2
