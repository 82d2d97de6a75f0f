/**
 * What a cell knows and does: tasks, VMs, transitions for its journal, actions for its shell.
 */
import type {
  Attempt, CellId, DataCentre, EndpointId, Epoch, Instant, LeaseSession, RackId, Resources, ServiceName, TaskId, TeamName, VmId
} from '@auburnpin/common'
import type { Configuration } from '../configuration/types.ts'

/** What kind of work a task is. */
export type TaskKind = 'replica' | 'watch' | 'batch'

/** A task as it was accepted; it never changes afterwards. */
export type TaskSpec = Readonly<{
  id: TaskId
  kind: TaskKind
  isUrgent: boolean
  team: TeamName
  resources: Resources
  command: string
  /** Set for batch tasks that the configuration declares; they end when they are withdrawn. */
  isDeclared?: boolean
  /** For replicas: the service they answer for. */
  service?: ServiceName
  /** For a replica that takes another's place: the declared replica whose place it is. */
  slot?: TaskId
  /** Wall clock, milliseconds since 1970. */
  acceptedAt: number
}>

/** Where a task stands. `finished`, `failed` and `cancelled` are final. */
export type TaskState = 'queued' | 'starting' | 'running' | 'evicting' | 'finished' | 'failed' | 'cancelled' | 'unrunnable'

/** Why a task waits, was moved or ended; typed, so that every reader words it alike. */
export type TaskReason =
  | Readonly<{ kind: 'waiting-for-room' }>
  | Readonly<{ kind: 'waiting-for-workers' }>
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
  | Readonly<{ kind: 'redeclared' }>
  | Readonly<{ kind: 'replaced' }>
  | Readonly<{ kind: 'withdrawn' }>
  | Readonly<{ kind: 'by-caller' }>

/** Where the present attempt runs. */
export type Placement = Readonly<{
  vm: VmId
  session: LeaseSession
  /** When this owner learnt of it; older reports say nothing about it. */
  since: Instant
  isRunning: boolean
  isStopping: boolean
  /** When this owner first told gateways that the replica leaves; it is stopped some time after. */
  drainedSince?: Instant
  /** Share of its declared processors that the attempt may use, 0 to 1; 1 if not told. */
  throttle?: number
  /** Endpoint's IP number and port, once the worker has told it. */
  address?: string
}>

/** A task with its history. */
export type Task = Readonly<{
  spec: TaskSpec
  state: TaskState
  /** Number of the present or last attempt, 0 before the first. */
  attempt: Attempt
  placement?: Placement
  checkpoint?: string
  result?: string
  reason?: TaskReason
  failures: number
  /** VMs on which an attempt failed, each once. */
  failedOn?: readonly VmId[]
  evictions: number
  /** Set once the task shall not run again, whatever its attempt says. */
  isWithdrawn: boolean
}>

/** How an attempt ended. */
export type AttemptEnd = 'finished' | 'failed' | 'stopped' | 'lost'

/** One change of a cell's lasting state, as the journal keeps it. */
export type Transition =
  | Readonly<{ kind: 'accepted', spec: TaskSpec }>
  | Readonly<{ kind: 'assigned', task: TaskId, attempt: Attempt, vm: VmId, session: LeaseSession }>
  | Readonly<{ kind: 'stopping', task: TaskId, attempt: Attempt, reason: TaskReason }>
  | Readonly<{ kind: 'ended', task: TaskId, attempt: Attempt, end: AttemptEnd, result?: string, checkpoint?: string, reason?: TaskReason }>
  | Readonly<{ kind: 'withdrawn', task: TaskId, reason: TaskReason }>
  | Readonly<{ kind: 'respecified', task: TaskId, spec: TaskSpec }>
  | Readonly<{ kind: 'unrunnable', task: TaskId, reason: TaskReason }>
  | Readonly<{ kind: 'runnable', task: TaskId }>
  | Readonly<{ kind: 'forgotten', task: TaskId }>

/** A VM as the cell sees it. */
export type Vm = Readonly<{
  id: VmId
  dataCentre: DataCentre
  rack: RackId
  address: string
  resources: Resources
  isLeaving: boolean
  /** Set while the VM is missing from the VM list. */
  missingSince?: Instant
  /** The lease session that this owner holds, if any. */
  session?: LeaseSession
  /** When the lease was last renewed, counted from before the renewal was sent. */
  renewedAt?: Instant
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

/** One usage sample of a worker: what was true at `measuredAt`, known only later. */
export type UsageReading = Readonly<{
  /** When it was measured, by this process's clock. */
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
  /** 99th percentile of answer times, for replicas. */
  latencyP99Ms?: number
  requests?: number
}>

/** What the shell tells the cell. */
export type CellEvent =
  | Readonly<{ kind: 'tick' }>
  | Readonly<{ kind: 'submitted', spec: TaskSpec }>
  | Readonly<{ kind: 'cancelled', task: TaskId }>
  | Readonly<{ kind: 'configured', configuration: Configuration, declared: readonly TaskSpec[] }>
  | Readonly<{ kind: 'vms-listed', vms: readonly ListedVm[] }>
  | Readonly<{ kind: 'lease-granted', vm: VmId, session: LeaseSession, sentAt: Instant }>
  | Readonly<{ kind: 'lease-refused', vm: VmId, openSession: LeaseSession | null }>
  | Readonly<{ kind: 'reported', vm: VmId, askedAt: Instant, session: LeaseSession | null, tasks: readonly ReportedTask[] }>
  | Readonly<{ kind: 'usage', vm: VmId, readings: readonly UsageReading[] }>

/** What the cell asks its shell to do, once the step's transitions are durable. */
export type CellAction =
  | Readonly<{ kind: 'start', vm: VmId, address: string, task: Task, session: LeaseSession }>
  | Readonly<{ kind: 'stop', vm: VmId, address: string, task: TaskId, attempt: Attempt, session: LeaseSession, isCheckpointed: boolean }>
  | Readonly<{ kind: 'acknowledge', vm: VmId, address: string, task: TaskId, attempt: Attempt, session: LeaseSession }>
  | Readonly<{ kind: 'throttle', vm: VmId, address: string, task: TaskId, attempt: Attempt, session: LeaseSession, share: number }>
  | Readonly<{ kind: 'publish-endpoints' }>

/** The outcome of one step. */
export type CellStep = Readonly<{ transitions: readonly Transition[], actions: readonly CellAction[] }>

/** Whom a cell belongs to, for the time of one ownership. */
export type CellTerm = Readonly<{ cell: CellId, epoch: Epoch }>

/** An endpoint as gateways learn of it. */
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
