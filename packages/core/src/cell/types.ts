/**
 * Types of a cell: tasks, VMs, events, the transitions that it journals and the actions that it requests.
 */
import type {
  Attempt, CellId, DataCentre, EndpointId, Epoch, Instant, LeaseSession, RackId, Resources, ServiceName, TaskId, TeamName, VmId
} from '@auburnpin/common'
import type { Configuration } from '../configuration/types.ts'

/** A replica serves a service's requests, a watch runs until withdrawn, a batch task until it finishes. */
export type TaskKind = 'replica' | 'watch' | 'batch'

/** A task as it was accepted; only a changed declaration replaces it. */
export type TaskSpec = Readonly<{
  id: TaskId
  kind: TaskKind
  isUrgent: boolean
  team: TeamName
  resources: Resources
  command: string
  /** Set for batch tasks that the configuration declares; they are cancelled when it withdraws them. */
  isDeclared?: boolean
  /** For replicas: their service. */
  service?: ServiceName
  /** For a replica that succeeds another: the id of the declared replica. */
  slot?: TaskId
  /** Wall clock, milliseconds since 1970. */
  acceptedAt: number
}>

/** State of a task. `finished`, `failed` and `cancelled` are final. */
export type TaskState = 'queued' | 'starting' | 'running' | 'evicting' | 'finished' | 'failed' | 'cancelled' | 'unrunnable'

/** Why a task waits, was moved or ended. Typed, so that `describeReason` alone puts it into words. */
export type TaskReason =
  | Readonly<{ kind: 'waiting-for-room' }>
  | Readonly<{ kind: 'waiting-for-workers' }>
  | Readonly<{ kind: 'data-centre-evacuated', dataCentre: DataCentre }>
  | Readonly<{ kind: 'too-large', largest: Resources }>
  | Readonly<{ kind: 'over-quota', team: TeamName, quota: Resources }>
  | Readonly<{ kind: 'would-slow', service: ServiceName }>
  | Readonly<{ kind: 'waiting-for-eviction', vm: VmId }>
  | Readonly<{ kind: 'placed', vm: VmId, servicesOnVm: readonly ServiceName[] }>
  | Readonly<{ kind: 'throttled-for', service: ServiceName, share: number }>
  | Readonly<{ kind: 'evicted-for', task: TaskId }>
  | Readonly<{ kind: 'evicted-for-service', service: ServiceName, vm: VmId }>
  | Readonly<{ kind: 'vm-leaving', vm: VmId }>
  | Readonly<{ kind: 'vm-lost', vm: VmId }>
  | Readonly<{ kind: 'lease-ran-out', vm: VmId }>
  | Readonly<{ kind: 'attempts-used-up', last: string }>
  | Readonly<{ kind: 'may-crash-workers', vms: readonly VmId[] }>
  | Readonly<{ kind: 'crashed-workers', vms: readonly VmId[] }>
  | Readonly<{ kind: 'redeclared' }>
  | Readonly<{ kind: 'replaced' }>
  | Readonly<{ kind: 'withdrawn' }>
  | Readonly<{ kind: 'by-caller' }>

/** Where the current attempt runs. */
export type Placement = Readonly<{
  vm: VmId
  session: LeaseSession
  /** When this owner learnt of the placement; reports requested earlier don't show that the attempt is missing. */
  since: Instant
  isRunning: boolean
  isStopping: boolean
  /** Whether an earlier owner made the placement, so that this one doesn't know for how long the attempt has run. */
  isInherited?: boolean
  /** When a report first showed this owner that the attempt runs. */
  seenSince?: Instant
  /** Whether reports have shown the attempt running for `MIN_SURVIVAL_MS`. */
  hasSurvived?: boolean
  /** When this owner first published the replica as leaving; it is stopped after `REPLICA_DRAIN_MS`. */
  drainedSince?: Instant
  /** Share of its declared processors that the attempt may use, 0 to 1; 1 if absent. */
  throttle?: number
  /** The endpoint's IP address and port, once the worker has reported it. */
  address?: string
}>

/** A task with its history. */
export type Task = Readonly<{
  spec: TaskSpec
  state: TaskState
  /** Number of the current or last attempt, 0 before the first. */
  attempt: Attempt
  placement?: Placement
  checkpoint?: string
  result?: string
  reason?: TaskReason
  failures: number
  /** VMs on which an attempt failed, each once. */
  failedOn?: readonly VmId[]
  /** VMs whose workers crashed soon after they had been sent an attempt, one for each crash since the task last survived a start. */
  crashedOn?: readonly VmId[]
  evictions: number
  /** Set once the task must not run again, however its current attempt ends. */
  isWithdrawn: boolean
}>

/** How an attempt ended. */
export type AttemptEnd = 'finished' | 'failed' | 'stopped' | 'lost'

/** Whether an attempt that was lost in a crash of its worker may have caused it: not if it had survived its start. */
export type CrashRole = 'suspect' | 'bystander'

/** One change of a cell's durable state, as recorded in the journal. */
export type Transition =
  | Readonly<{ kind: 'accepted', spec: TaskSpec }>
  | Readonly<{ kind: 'assigned', task: TaskId, attempt: Attempt, vm: VmId, session: LeaseSession }>
  | Readonly<{ kind: 'stopping', task: TaskId, attempt: Attempt, reason: TaskReason }>
  | Readonly<{ kind: 'ended', task: TaskId, attempt: Attempt, end: AttemptEnd, result?: string, checkpoint?: string, reason?: TaskReason, crash?: CrashRole }>
  | Readonly<{ kind: 'survived', task: TaskId, attempt: Attempt }>
  | Readonly<{ kind: 'withdrawn', task: TaskId, reason: TaskReason }>
  | Readonly<{ kind: 'respecified', task: TaskId, spec: TaskSpec }>
  | Readonly<{ kind: 'unrunnable', task: TaskId, reason: TaskReason }>
  | Readonly<{ kind: 'runnable', task: TaskId }>
  | Readonly<{ kind: 'forgotten', task: TaskId }>

/** A VM in the cell's state. */
export type Vm = Readonly<{
  id: VmId
  dataCentre: DataCentre
  rack: RackId
  address: string
  resources: Resources
  isLeaving: boolean
  /** Whether its data centre is evacuated: nothing new is assigned, what runs there stays. */
  isEvacuated?: boolean
  /** Set while the VM is missing from the VM list. */
  missingSince?: Instant
  /** The lease session that this owner holds, if any. */
  session?: LeaseSession
  /** When the last successful renewal of the lease was sent; the worker counts the lease from a later moment. */
  renewedAt?: Instant
  /** When the last renewal without a response was sent. */
  unansweredAt?: Instant
}>

/** One VM of the VM list. */
export type ListedVm = Pick<Vm, 'id' | 'dataCentre' | 'rack' | 'address' | 'resources' | 'isLeaving'>

/** One task in a worker's report. */
export type ReportedTask = Readonly<{
  id: TaskId
  attempt: Attempt
  state: 'running' | 'finished' | 'failed' | 'stopped'
  result?: string
  checkpoint?: string
  address?: string
}>

/** One usage sample of a worker. It is received some time after `measuredAt`. */
export type UsageReading = Readonly<{
  /** Time of the measurement on this process's clock. */
  measuredAt: Instant
  tasks: readonly TaskReading[]
}>

/** One task in a usage sample. */
export type TaskReading = Readonly<{
  id: TaskId
  attempt: Attempt
  /** Cores in use. */
  processors: number
  memoryMb: number
  /** 99th percentile of response times, for replicas. */
  latencyP99Ms?: number
  requests?: number
}>

/** An event that the cell handles in one step. */
export type CellEvent =
  | Readonly<{ kind: 'tick' }>
  | Readonly<{ kind: 'submitted', spec: TaskSpec }>
  | Readonly<{ kind: 'cancelled', task: TaskId }>
  | Readonly<{ kind: 'configured', configuration: Configuration, declared: readonly TaskSpec[] }>
  | Readonly<{ kind: 'vms-listed', vms: readonly ListedVm[] }>
  | Readonly<{ kind: 'lease-granted', vm: VmId, session: LeaseSession, sentAt: Instant }>
  /** A renewal got no response and may be carried out later. */
  | Readonly<{ kind: 'lease-unanswered', vm: VmId, sentAt: Instant }>
  | Readonly<{ kind: 'lease-refused', vm: VmId, openSession: LeaseSession | null }>
  | Readonly<{ kind: 'reported', vm: VmId, askedAt: Instant, session: LeaseSession | null, isNewIncarnation?: boolean, tasks: readonly ReportedTask[] }>
  | Readonly<{ kind: 'usage', vm: VmId, readings: readonly UsageReading[] }>

/** An action that the cell's caller carries out once the step's transitions are durable. */
export type CellAction =
  | Readonly<{ kind: 'start', vm: VmId, address: string, task: Task, session: LeaseSession }>
  | Readonly<{ kind: 'stop', vm: VmId, address: string, task: TaskId, attempt: Attempt, session: LeaseSession, isCheckpointed: boolean }>
  | Readonly<{ kind: 'acknowledge', vm: VmId, address: string, task: TaskId, attempt: Attempt, session: LeaseSession }>
  | Readonly<{ kind: 'throttle', vm: VmId, address: string, task: TaskId, attempt: Attempt, session: LeaseSession, share: number }>
  | Readonly<{ kind: 'publish-endpoints' }>

/** Result of one step. */
export type CellStep = Readonly<{ transitions: readonly Transition[], actions: readonly CellAction[] }>

/** One term of ownership of a cell. */
export type CellTerm = Readonly<{ cell: CellId, epoch: Epoch }>

/** An endpoint as published to gateways. */
export type Endpoint = Readonly<{
  id: EndpointId
  service: ServiceName
  vm: VmId
  dataCentre: DataCentre
  address: string
  slots: number
  connections: number
  isLeaving: boolean
}>
