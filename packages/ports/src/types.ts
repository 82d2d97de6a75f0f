/**
 * What the platform's services speak of: rows, transactions, VMs, workers.
 */
import type {
  Attempt, DataCentre, Epoch, LeaseSession, RackId, Resources, RowVersion, ServiceName, TaskId, TransactionId, VmId
} from '@auburnpin/common'

/** One row of the table service with its content. */
export type Row<Value = unknown> = Readonly<{
  key: string
  version: RowVersion
  /** The transaction that wrote the row last. */
  transaction: TransactionId
  value: Value
}>

/** What must be true of a row for a transaction to commit. */
export type RowCheck =
  | Readonly<{ kind: 'version', key: string, version: RowVersion }>
  | Readonly<{ kind: 'absent', key: string }>

/** One row to write. */
export type RowPut = Readonly<{ key: string, value: unknown }>

/** All or nothing: the checks hold and everything is written, or nothing is. */
export type Transaction = Readonly<{
  id: TransactionId
  checks: readonly RowCheck[]
  puts: readonly RowPut[]
  deletes: readonly string[]
}>

/** How a transaction ended. A conflict shows the first row that differs, `null` if there is none. */
export type TransactionOutcome =
  | Readonly<{ kind: 'committed', version: RowVersion }>
  | Readonly<{ kind: 'conflict', key: string, row: Row | null }>

/** A page of rows in the order of their keys. */
export type RowPage = Readonly<{ rows: readonly Row[], hasMore: boolean }>

/** One entry of the platform's VM list, which lags. */
export type VmEntry = Readonly<{
  id: VmId
  dataCentre: DataCentre
  rack: RackId
  /** IP number and port of the worker. */
  address: string
  resources: Resources
  state: 'live' | 'leaving'
}>

/** A lease as the worker holds it. */
export type WorkerLease = Readonly<{
  session: LeaseSession
  epoch: Epoch
  ttlMs: number
  /** Whether to open a new session; a renewal of a closed one is refused. */
  isNew: boolean
}>

/** What a worker is asked to run. */
export type TaskStart = Readonly<{
  id: TaskId
  attempt: Attempt
  leaseSession: LeaseSession
  epoch: Epoch
  resources: Resources
  /** What to run; the worker alone understands it. */
  command: string
  /** Set for a replica of a service: the worker opens an endpoint. */
  service?: ServiceName
  /** Where an earlier attempt left off. */
  checkpoint?: string
}>

/** State of a task as the worker tells it. */
export type WorkerTaskState = 'running' | 'finished' | 'failed' | 'stopped'

/** One task as the worker knows it. */
export type WorkerTask = Readonly<{
  id: TaskId
  attempt: Attempt
  state: WorkerTaskState
  /** The result of a finished task, or why it failed. */
  result?: string
  checkpoint?: string
  /** IP number and port where a replica answers. */
  address?: string
  /** Share of its declared processors that the task may use, from 0 to 1. */
  throttle: number
}>

/** Everything a worker runs or has yet to be told that its end is recorded. */
export type WorkerReport = Readonly<{
  /** The open lease session, `null` when the lease has run out. */
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
  /** 99th percentile of answer times, for replicas only. */
  latencyP99Ms?: number
  requests?: number
}>

/** A usage sample; it arrives later than it was measured. */
export type UsageSample = Readonly<{
  /** Worker's wall clock, milliseconds since 1970. */
  measuredAt: number
  tasks: readonly TaskUsage[]
}>

/** Why a worker refused: in each case nothing was started or changed. */
export type WorkerRefusalReason = 'lower-epoch' | 'other-session' | 'closed-session' | 'over-committed' | 'ended-attempt'

/** An answer of a worker: done, or refused. */
export type WorkerAnswer<Value> =
  | Readonly<{ kind: 'done', value: Value }>
  | Readonly<{ kind: 'refused', reason: WorkerRefusalReason, session: LeaseSession | null, epoch: Epoch }>
