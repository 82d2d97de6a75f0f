/**
 * Messages between members, and the rows that they share in the table service.
 */
import type { CellId, ConfigVersion, DataCentre, Epoch, ErrorReport, MemberId, TaskId } from '@auburnpin/common'
import type { CellSummary, Configuration, Endpoint, Task, TaskReason, TaskSpec, Vm } from '@auburnpin/core'

/** A function that a member performs in the region. */
export type MemberRole = 'gateway' | 'scheduler'

/** A member's row in the table service; each renewal of its lease rewrites the row. */
export type MemberRow = Readonly<{
  member: MemberId
  dataCentre: DataCentre
  roles: readonly MemberRole[]
  /** IP number and port of the peer listener. */
  peerAddress: string
  /** Identifies one start of the process. */
  incarnation: string
  renewals: number
  configVersion: ConfigVersion
  isLeaving: boolean
}>

/** A cell's row: its owner and the epoch of the owner's term. */
export type CellRow = Readonly<{
  cell: CellId
  epoch: Epoch
  /** `null` after a release, until the next member claims the cell. */
  owner: MemberId | null
  /** The owner's incarnation, so that a restarted process is not mistaken for the owner. */
  incarnation: string | null
}>

/** Request counts and latencies of one service at one gateway, over the last one to two minutes. */
export type ServiceFigures = Readonly<{ service: string, answered: number, refused: number, p50Ms: number, p99Ms: number }>

/** Number of evictions for one reason. */
export type EvictionFigures = Readonly<{ reason: string, count: number }>

/** Statistics of one member over the last one to two minutes. */
export type MemberFigures = Readonly<{
  /** Period that the statistics cover, in milliseconds. */
  windowMs: number
  services: readonly ServiceFigures[]
  tasksFinished: number
  evictions: readonly EvictionFigures[]
  /** Counted since the start of the process. */
  invariantsBroken: number
}>

/** A one-way message to other members. */
export type PeerNotice =
  | Readonly<{ kind: 'configuration-accepted', version: ConfigVersion }>
  | Readonly<{ kind: 'endpoints', cell: CellId, epoch: Epoch, revision: number, endpoints: readonly Endpoint[] }>
  /** Cells were released: their preferred owners may claim them at once. */
  | Readonly<{ kind: 'cells-released', cells: readonly CellId[] }>

/** A request to another member. */
export type PeerRequest =
  | Readonly<{ kind: 'submit', cell: CellId, spec: TaskSpec }>
  | Readonly<{ kind: 'cancel', cell: CellId, task: TaskId }>
  | Readonly<{ kind: 'find-task', cell: CellId, task: TaskId }>
  | Readonly<{ kind: 'list-tasks', cell: CellId }>
  | Readonly<{ kind: 'summarise-cell', cell: CellId }>
  /** Endpoint publications that are newer than those in `known`. */
  | Readonly<{ kind: 'list-endpoints', known?: readonly PublicationVersion[] }>
  /** The peer's configuration, if it is newer than `after`. */
  | Readonly<{ kind: 'read-configuration', after: ConfigVersion }>
  /** The peer's view of members and cells, for a process that can't read them from the store. */
  | Readonly<{ kind: 'read-region' }>
  | Readonly<{ kind: 'read-figures' }>

/** The reply to a request. */
export type PeerReply =
  | Readonly<{ kind: 'accepted', task: Task }>
  /**
   * `vm` is the VM that the task is placed on, `null` if the VM list lacks it; `reason` explains the placement
   * as the task's cell sees it.
   */
  | Readonly<{ kind: 'task', task: Task | null, vm?: Vm | null, reason?: TaskReason }>
  | Readonly<{ kind: 'tasks', tasks: readonly Task[] }>
  | Readonly<{ kind: 'cell-summary', summary: CellSummary }>
  | Readonly<{ kind: 'endpoints', published: readonly EndpointsNotice[] }>
  | Readonly<{ kind: 'figures', figures: MemberFigures }>
  | Readonly<{ kind: 'configuration', configuration: Configuration | null }>
  | Readonly<{ kind: 'region', members: readonly MemberRow[], cells: readonly CellRow[] }>
  | Readonly<{ kind: 'failed', error: ErrorReport }>

/** Identifies one publication of a cell's endpoints. */
export type PublicationVersion = Readonly<{ cell: CellId, epoch: Epoch, revision: number }>

/** The endpoints of a cell as published by its owner. */
export type EndpointsNotice = Extract<PeerNotice, { kind: 'endpoints' }>

/** A shared secret with which members authenticate each other when they connect. */
export type PeerKey = Readonly<{ id: string, secret: string }>
