/** VMs that run no endpoint, in each data centre; one is drained while it works. */
export const SPARE_VMS = 2
/** VMs in each data centre. */
export const VMS_PER_DATA_CENTRE = 3
/** Cores of each VM. */
export const VM_PROCESSORS = 32
/** Memory of each VM, in megabytes. */
export const VM_MEMORY_MB = 125_000
/** Requests that callers send. */
export const REQUESTS = 600
/** Callers that send at the same time. */
export const CALLERS = 16
/** Every so many-th request may not be repeated. */
export const ORDER_EVERY = 3
/** Batch jobs that are submitted. */
export const JOBS = 30
/** Work of a submitted job, in milliseconds. */
export const JOB_MS = 300
/** Work of a long declared task, in milliseconds. */
export const LONG_TASK_MS = 4_000
/** Longest wait for any one thing, in milliseconds. */
export const PATIENCE_MS = 20_000
/** Time between two looks at what is awaited, in milliseconds. */
export const LOOK_MS = 100
/** Longest answer time that is recorded, in milliseconds. */
export const LONGEST_RECORDED_MS = 60_000
/** Token of the demo's operator. */
export const OPERATOR_TOKEN = 'demo-operator-token'
/** Versions that the demo makes: its note, the drain. */
export const LAST_VERSION = 2
