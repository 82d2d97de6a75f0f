/**
 * Jobs and their steps, the workers that run the tasks, and the messages between an owner and a worker.
 *
 * A *serving task* (`latencyTargetMs` above 0) answers requests and has a tail latency to keep. A *filler*
 * (`isFiller`) uses only processors that other tasks leave unused. A *long-running task* (`isLasting`) runs
 * until its job is cancelled.
 */
import type { Attempt, Branded, CellId, Epoch, Incarnation, Instant, JobId, QueueName, ServiceName, WorkerId } from '@auburnpin/common'

/** One step of a job: a number of tasks with the same requirements. */
export type JobStep = Readonly<{
  taskCount: number
  /** Per task, in thousandths of a core. */
  processors: number
  memoryMb: number
  accelerators: number
  /** The client's estimate of one task's duration, in milliseconds; 0 for none. */
  estimateMs: number
  /** Numbers, from 0, of earlier steps whose tasks must all be done before this step starts. */
  after: readonly number[]
  isCheckpointing: boolean
  /** The tasks make progress only while all of them run, and end together. */
  isGang: boolean
  /** The tasks are slow unless all of them run in the same rack. */
  isOneRack: boolean
  /** Label that a worker must have; empty for any. */
  requiredLabel: string
  /** Label of the rack that holds the data; empty for none. */
  dataRack: string
  /** Maximum number of tasks of the step on one worker; 0 for no limit. */
  maxPerWorker: number
  /** Several runs of a task may exist at the same time; the first to finish counts. */
  isSpeculative: boolean
  /** Long-running: the tasks run until the job is cancelled and are restarted however they end. */
  isLasting: boolean
  /** Program that the tasks run; tasks of the same image behave alike. Empty for none. */
  image: string
  /** Target for a serving task's tail latency, in milliseconds; 0 for all other tasks. */
  latencyTargetMs: number
  /** Fillers: the tasks use only processors that other tasks leave unused. */
  isFiller: boolean
  /** Number of the step's tasks that the scheduler itself may interrupt at the same time. */
  mayMiss: number
}>

/** The operator's settings of a queue when the job was accepted. */
export type QueuePolicy = Readonly<{
  service: ServiceName
  /** 0 is the most urgent. */
  priority: number
  /** The job fails when one of its tasks has failed this many times. */
  maxAttempts: number
  /** The latency objective is the longest chain of steps multiplied by this, plus `objectiveMs`. */
  objectiveFactor: number
  objectiveMs: number
}>

/** A job as it was accepted; immutable. */
export type Job = Readonly<{
  id: JobId
  queue: QueueName
  policy: QueuePolicy
  /** Passed unchanged to every task. */
  spec: string
  steps: readonly JobStep[]
  /** Wall clock, milliseconds since 1970. */
  acceptedAt: number
  /** How many times the steps run; 0 for a single run that starts immediately. */
  occurrences: number
  /** Wall clock of the first occurrence, milliseconds since 1970. */
  firstRunAt: number
  intervalMs: number
}>

/** Phase of a job. The last three are final. */
export type JobPhase = 'queued' | 'active' | 'completed' | 'failed' | 'cancelled'

/** A task's name: job, occurrence, step and index, separated by dots. */
export type TaskName = Branded<string, 'TaskName'>

/**
 * Which cell schedules a task that its job's cell has delegated to another one. Both cells store it, each for itself.
 */
export type Delegation = Readonly<{
  /** Counts the delegations of the task from 1, so that what is said of an earlier one is recognised. */
  number: number
  /** No run before the task last changed its cell has a higher attempt number. */
  lastAttempt: number
  /** The cell that schedules the task; absent if it is the one that stores this. */
  cell?: CellId
}>

/** One incarnation of a worker. */
export type WorkerIncarnation = Readonly<{ id: WorkerId, incarnation: Incarnation }>

/** A run under which this incarnation of a worker was lost, or may be. */
export type SuspectedRun = Readonly<{ attempt: Attempt, worker: WorkerIncarnation }>

/**
 * The last run of a long-running task, as the owner with this epoch stored it: no later one has been ordered. `isListed`: the
 * worker has listed it, so that its order can't be carried out any more.
 */
export type KnownRun = SuspectedRun & Readonly<{ epoch: Epoch, isListed: boolean }>

/** Durable state of a job, from which the next owner continues: tasks done, long-running tasks that have run, failed runs, checkpoints and runs lost with their workers. */
export type JobProgress = Readonly<{
  phase: JobPhase
  /** For each `occurrence.step` with finished tasks: their indexes, or `all`. */
  done: Readonly<Record<string, readonly number[] | 'all'>>
  /** For each `occurrence.step` of long-running tasks: the indexes of those that have run, or `all`. Absent in rows of earlier versions. */
  started?: Readonly<Record<string, readonly number[] | 'all'>>
  /** For each `occurrence.step.index`: the attempt numbers of the runs that failed. */
  failed: Readonly<Record<string, readonly number[]>>
  /** For each `occurrence.step.index` with a checkpoint: the checkpoint. */
  checkpoints: Readonly<Record<string, string>>
  /** For each `occurrence.step.index`: the attempt numbers of runs under which workers were lost, or may be; see `TaskCrashes`. Absent in rows of earlier versions. */
  crashed?: Readonly<Record<string, readonly number[]>>
  /** For each `occurrence.step.index`: the workers of these runs, as far as they are known, so that the next owner can ask them. Absent in rows of earlier versions. */
  crashedOn?: Readonly<Record<string, readonly SuspectedRun[]>>
  /** For each `occurrence.step.index` of a long-running task: its last run, if it is known. Absent in rows of earlier versions. */
  knownRuns?: Readonly<Record<string, KnownRun>>
  /** For each `occurrence.step.index` of a task that was ever delegated: its latest delegation. */
  delegations?: Readonly<Record<string, Delegation>>
  /** The cell that the job is to be scheduled in instead; set only while no task of the job has ever been started. */
  movedTo?: CellId
  /** Whether the job's other segments have rows of their own. Absent in rows of earlier versions, which hold all progress of a job. */
  isDivided?: boolean
}>

/** A worker's entry in the list of workers. */
export type WorkerEntry = Readonly<{
  id: WorkerId
  incarnation: Incarnation
  address: string
  service: ServiceName
  zone: string
  /** The worker's rack, which is unique within its zone; empty if unknown. */
  rack: string
  isDraining: boolean
  labels: readonly string[]
  /** Thousandths of a core. */
  processors: number
  memoryMb: number
  accelerators: number
}>

/** One run in a worker's report. */
export type ReportedRun = Readonly<{
  task: TaskName
  attempt: Attempt
  checkpoint: string
  /** Progress from 0 to 100; 100 for a long-running task that is ready. */
  progressPercent: number
  /** For a serving task, its tail latency in milliseconds; for any other task, the thousandths of a core in use. */
  reading: number
}>

/** How a run ended, as reported by the worker; `lapsed`: its lease expired. */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** One ended run in a worker's report; `sequence` rises from 1 in each incarnation of the worker. */
export type ReportedEnd = Readonly<{
  sequence: number
  task: TaskName
  attempt: Attempt
  ending: RunEnding
  checkpoint: string
}>

/** A worker's report. `clockMs` is a reading of the worker's steady clock. */
export type WorkerReport = Readonly<{
  incarnation: Incarnation
  clockMs: number
  /** All runs that have not ended. */
  running: readonly ReportedRun[]
  ended: readonly ReportedEnd[]
  /** Whether further ends may follow once these are acknowledged, so that a run in neither list may still have ended. */
  mayHaveMoreEnds?: boolean
}>

/** A worker's response to an order to start. */
export type StartOutcome =
  | 'started'
  /** The worker runs, or has run, this run or a later one of the task. */
  | 'superseded'
  /** The order's lease had expired when the order arrived. */
  | 'too-late'
  | 'no-room'
  /** The worker has accepted an order with a higher fencing token. */
  | 'fenced'
  /** The worker refused for a reason of its own; it did not start the run. */
  | 'unavailable'
  /** Another incarnation of the worker responded; it did not start the run. */
  | 'reborn'
  /** The order is malformed; the worker did not start the run. */
  | 'invalid'
  /** No response: the run may have started, or may start later. */
  | 'unknown'

/** An order to a worker. */
export type RunOrder =
  | Readonly<{ kind: 'start', worker: WorkerId, address: string, task: TaskName, attempt: Attempt, spec: string, checkpoint: string, isLongRunning: boolean }>
  | Readonly<{ kind: 'pace', worker: WorkerId, address: string, task: TaskName, attempt: Attempt, percent: number }>
  | Readonly<{ kind: 'stop', worker: WorkerId, address: string, task: TaskName, attempt: Attempt }>

/** Settings of the leases that workers run under. */
export type LeaseSettings = Readonly<{
  /** Each call extends the worker's lease to this many milliseconds after it is sent. */
  leaseMs: number
}>

/** A reading of the worker's clock, and this process's time when it was received. */
export type ClockSample = Readonly<{ clockMs: number, at: Instant }>
