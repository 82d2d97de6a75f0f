/**
 * Jobs of steps, the workers that run their tasks, and what passes between an owner and a worker.
 */
import type { Attempt, Branded, Incarnation, Instant, JobId, QueueName, ServiceName, WorkerId } from '@auburnpin/common'

/** One step of a job: tasks of the same shape. */
export type JobStep = Readonly<{
  taskCount: number
  /** Per task, in thousandths of a core. */
  processors: number
  memoryMb: number
  accelerators: number
  /** The client's rough estimate of one task's duration, in milliseconds. */
  estimateMs: number
  /** Numbers of earlier steps whose tasks must all be done first, from 0. */
  after: readonly number[]
  isCheckpointing: boolean
  /** The tasks work only while all of them are present, and end together. */
  isGang: boolean
  /** The tasks are slow unless all of them run in one rack. */
  isOneRack: boolean
  /** Label that a worker must have; empty for any. */
  requiredLabel: string
  /** Label of the rack that holds the data; empty for none. */
  dataRack: string
  /** At most so many tasks of the step on one worker; 0 for any number. */
  maxPerWorker: number
  /** Copies may run side by side; the first to finish counts. */
  isSpeculative: boolean
  /** The tasks run until the job is cancelled and are restarted however they end. */
  isLasting: boolean
  /** What the tasks run; tasks of the same image behave alike. Empty for none. */
  image: string
  /** Bound of a serving task's tail latency, in milliseconds; 0 for a task that serves nobody. */
  latencyTargetMs: number
  /** The tasks take only processors that other tasks leave unused. */
  isFiller: boolean
  /** Tasks of the step that may be away at once by the scheduler's own acts. */
  mayMiss: number
}>

/** What the operator sets for a queue, at the time the job was accepted. */
export type QueuePolicy = Readonly<{
  service: ServiceName
  /** 0 comes first. */
  priority: number
  /** A task that failed so often fails its job. */
  maxAttempts: number
  /** The latency objective: this many times the longest chain of work, and `objectiveMs` more. */
  objectiveFactor: number
  objectiveMs: number
}>

/** A job as it was accepted; it never changes afterwards. */
export type Job = Readonly<{
  id: JobId
  queue: QueueName
  policy: QueuePolicy
  /** Handed to every task as it is. */
  spec: string
  steps: readonly JobStep[]
  /** Wall clock, milliseconds since 1970. */
  acceptedAt: number
  /** How often the steps run; 0 for once, at once. */
  occurrences: number
  /** Wall clock of the first occurrence, milliseconds since 1970. */
  firstRunAt: number
  intervalMs: number
}>

/** Where a job stands. The last three are final. */
export type JobPhase = 'queued' | 'active' | 'completed' | 'failed' | 'cancelled'

/** A task's name: job, occurrence, step and index, joined by dots. */
export type TaskName = Branded<string, 'TaskName'>

/** What must outlast an owner: which tasks are done, which runs failed, and checkpoints. */
export type JobProgress = Readonly<{
  phase: JobPhase
  /** For each `occurrence.step` with a task done: the indexes, or `all`. */
  done: Readonly<Record<string, readonly number[] | 'all'>>
  /** For each `occurrence.step.index`: the numbers of the runs that failed. */
  failed: Readonly<Record<string, readonly number[]>>
  /** For each `occurrence.step.index` that has one. */
  checkpoints: Readonly<Record<string, string>>
}>

/** A worker as its own entry describes it. */
export type WorkerEntry = Readonly<{
  id: WorkerId
  incarnation: Incarnation
  address: string
  service: ServiceName
  zone: string
  isDraining: boolean
  labels: readonly string[]
  /** Thousandths of a core. */
  processors: number
  memoryMb: number
  accelerators: number
}>

/** One task that a worker runs, as it reports it. */
export type ReportedRun = Readonly<{
  task: TaskName
  attempt: Attempt
  checkpoint: string
  /** How far it has got, 0 to 100; of a lasting task 100 once it is at work. */
  progressPercent: number
  /** Of a serving task its tail latency in milliseconds, of any other the thousandths of a core in use. */
  reading: number
}>

/** How a run ended, by the worker's word. */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** One run that ended on a worker; `sequence` rises from 1 in each life of the worker. */
export type ReportedEnd = Readonly<{
  sequence: number
  task: TaskName
  attempt: Attempt
  ending: RunEnding
  checkpoint: string
}>

/** A worker's whole report. `clockMs` is its own steady clock. */
export type WorkerReport = Readonly<{
  incarnation: Incarnation
  clockMs: number
  running: readonly ReportedRun[]
  ended: readonly ReportedEnd[]
}>

/** A worker's answer to an order to start. */
export type StartOutcome =
  | 'started'
  /** It runs or ran this run or a later one of the task. */
  | 'superseded'
  /** The order's lease was over when it came. */
  | 'too-late'
  | 'no-room'
  /** Another owner has ordered with a higher fencing token. */
  | 'fenced'
  /** Refused for its own reasons; it did nothing. */
  | 'unavailable'
  /** Another life of the worker answered; it did nothing. */
  | 'reborn'
  /** The order itself is wrong; it did nothing. */
  | 'invalid'
  /** No answer: it may have started, or may start later. */
  | 'unknown'

/** What the board wants of a worker. */
export type RunOrder =
  | Readonly<{ kind: 'start', worker: WorkerId, address: string, task: TaskName, attempt: Attempt, spec: string, checkpoint: string }>
  | Readonly<{ kind: 'pace', worker: WorkerId, address: string, task: TaskName, attempt: Attempt, percent: number }>
  | Readonly<{ kind: 'stop', worker: WorkerId, address: string, task: TaskName, attempt: Attempt }>

/** The bounds that the board counts with, in milliseconds. */
export type LeaseBounds = Readonly<{
  /** A worker's lease is extended to this much after the time of sending. */
  leaseMs: number
}>

/** One moment on two clocks: the worker's and this process's. */
export type ClockSample = Readonly<{ clockMs: number, at: Instant }>
