/**
 * Data types of the platform's services: rows, transactions, VMs and workers.
 */
import type {
  Attempt, DataCentre, Epoch, LeaseSession, RackId, Resources, RowVersion, ServiceName, TaskId, TransactionId, VmId
} from '@auburnpin/common'

/** One row of the table service. */
export type Row<Value = unknown> = Readonly<{
  key: string
  version: RowVersion
  /** The last transaction that wrote the row. */
  transaction: TransactionId
  value: Value
}>

/** A precondition on a row: the transaction commits only if it holds. */
export type RowCheck =
  | Readonly<{ kind: 'version', key: string, version: RowVersion }>
  | Readonly<{ kind: 'absent', key: string }>

/** One row to write. */
export type RowPut = Readonly<{ key: string, value: unknown }>

/** An atomic transaction: if all checks hold, all puts and deletes are applied, else none is. */
export type Transaction = Readonly<{
  id: TransactionId
  checks: readonly RowCheck[]
  puts: readonly RowPut[]
  deletes: readonly string[]
}>

/** The result of a transaction. A conflict contains the row of the first check that failed, `null` if that row does not exist. */
export type TransactionOutcome =
  | Readonly<{ kind: 'committed', version: RowVersion }>
  | Readonly<{ kind: 'conflict', key: string, row: Row | null }>

/** A page of rows, ordered by key. */
export type RowPage = Readonly<{ rows: readonly Row[], hasMore: boolean }>

/** One entry of the platform's VM list, which lags behind the actual state. */
export type VmEntry = Readonly<{
  id: VmId
  dataCentre: DataCentre
  rack: RackId
  /** IP number and port of the worker. */
  address: string
  resources: Resources
  state: 'live' | 'leaving'
}>

/** A lease on a worker. */
export type WorkerLease = Readonly<{
  session: LeaseSession
  epoch: Epoch
  ttlMs: number
  /** Whether to open a new session; a renewal of a closed session is refused. */
  isNew: boolean
}>

/** A request to start one attempt of a task. */
export type TaskStart = Readonly<{
  id: TaskId
  attempt: Attempt
  leaseSession: LeaseSession
  epoch: Epoch
  resources: Resources
  /** The command to run; opaque to the scheduler. */
  command: string
  /** Set for a replica of a service: the worker opens an endpoint. */
  service?: ServiceName
  /** The checkpoint of an earlier attempt to resume from. */
  checkpoint?: string
}>

/** State of a task as reported by its worker. */
export type WorkerTaskState = 'running' | 'finished' | 'failed' | 'stopped'

/** One task as reported by its worker. */
export type WorkerTask = Readonly<{
  id: TaskId
  attempt: Attempt
  state: WorkerTaskState
  /** The result of a finished task, or the reason of a failure. */
  result?: string
  checkpoint?: string
  /** IP number and port of a replica's endpoint. */
  address?: string
  /** Share of its declared processors that the task may use, from 0 to 1. */
  throttle: number
}>

/** All tasks that run on a worker, and ended ones that were not acknowledged yet. */
export type WorkerReport = Readonly<{
  /** The open lease session, `null` if the lease has expired. */
  session: LeaseSession | null
  epoch: Epoch
  tasks: readonly WorkerTask[]
}>

/** Usage of one task over the time before `measuredAt`. */
export type TaskUsage = Readonly<{
  id: TaskId
  attempt: Attempt
  processors: number
  memoryMb: number
  /** 99th percentile of response times, for replicas only. */
  latencyP99Ms?: number
  requests?: number
}>

/** A usage sample; it is received some time after it was measured. */
export type UsageSample = Readonly<{
  /** Worker's wall clock, milliseconds since 1970. */
  measuredAt: number
  tasks: readonly TaskUsage[]
}>

/** Why a worker refused a request; in each case nothing was started or changed. */
export type WorkerRefusalReason = 'lower-epoch' | 'other-session' | 'closed-session' | 'over-committed' | 'ended-attempt'

/** A worker's response to a request: done, or refused. */
export type WorkerResponse<Value> =
  | Readonly<{ kind: 'done', value: Value }>
  | Readonly<{ kind: 'refused', reason: WorkerRefusalReason, session: LeaseSession | null, epoch: Epoch }>
