/**
 * What members tell each other, and the rows they share.
 */
import type { CellId, ConfigVersion, DataCentre, Epoch, ErrorReport, MemberId, TaskId } from '@auburnpin/common'
import type { CellSummary, Configuration, Endpoint, Task, TaskReason, TaskSpec, Vm } from '@auburnpin/core'

/** What a member does. */
export type MemberRole = 'gateway' | 'scheduler'

/** A member's row in the table service, renewed as a lease. */
export type MemberRow = Readonly<{
  member: MemberId
  dataCentre: DataCentre
  roles: readonly MemberRole[]
  /** IP number and port of the peer listener. */
  peerAddress: string
  /** Changes with every start of the process. */
  incarnation: string
  renewals: number
  configVersion: ConfigVersion
  isLeaving: boolean
}>

/** A cell's row: who owns it, since which term. */
export type CellRow = Readonly<{
  cell: CellId
  epoch: Epoch
  /** `null` after a hand-over, until the next member claims the cell. */
  owner: MemberId | null
  /** The owner's incarnation, so that a restarted process does not take itself for the owner. */
  incarnation: string | null
}>

/** Answers of one service during the last one to two minutes, as one gateway saw them. */
export type ServiceFigures = Readonly<{ service: string, answered: number, refused: number, p50Ms: number, p99Ms: number }>

/** Evictions for one reason. */
export type EvictionFigures = Readonly<{ reason: string, count: number }>

/** The measures of one member during the last one to two minutes. */
export type MemberFigures = Readonly<{
  /** How far back the figures reach, in milliseconds. */
  windowMs: number
  services: readonly ServiceFigures[]
  tasksFinished: number
  evictions: readonly EvictionFigures[]
  /** Since the start of the process. */
  invariantsBroken: number
}>

/** A message that asks for no answer. */
export type PeerNotice =
  | Readonly<{ kind: 'configuration-accepted', version: ConfigVersion }>
  | Readonly<{ kind: 'endpoints', cell: CellId, epoch: Epoch, revision: number, endpoints: readonly Endpoint[] }>
  /** Cells were given up: whoever should own them may claim them at once. */
  | Readonly<{ kind: 'cells-released', cells: readonly CellId[] }>

/** A question to another member. */
export type PeerRequest =
  | Readonly<{ kind: 'submit', cell: CellId, spec: TaskSpec }>
  | Readonly<{ kind: 'cancel', cell: CellId, task: TaskId }>
  | Readonly<{ kind: 'find-task', cell: CellId, task: TaskId }>
  | Readonly<{ kind: 'list-tasks', cell: CellId }>
  | Readonly<{ kind: 'summarise-cell', cell: CellId }>
  /** Publications newer than those known. */
  | Readonly<{ kind: 'list-endpoints', known?: readonly PublicationVersion[] }>
  /** The configuration, if it is newer than `after`. */
  | Readonly<{ kind: 'read-configuration', after: ConfigVersion }>
  /** The members and cells, for a process that can't read them itself. */
  | Readonly<{ kind: 'read-region' }>
  | Readonly<{ kind: 'read-figures' }>

/** The answer to a question. */
export type PeerReply =
  | Readonly<{ kind: 'accepted', task: Task }>
  /** With the VM that the task is placed on, `null` if that is on no list, and why it is where it is, as its cell sees it. */
  | Readonly<{ kind: 'task', task: Task | null, vm?: Vm | null, reason?: TaskReason }>
  | Readonly<{ kind: 'tasks', tasks: readonly Task[] }>
  | Readonly<{ kind: 'cell-summary', summary: CellSummary }>
  | Readonly<{ kind: 'endpoints', published: readonly EndpointsNotice[] }>
  | Readonly<{ kind: 'figures', figures: MemberFigures }>
  | Readonly<{ kind: 'configuration', configuration: Configuration | null }>
  | Readonly<{ kind: 'region', members: readonly MemberRow[], cells: readonly CellRow[] }>
  | Readonly<{ kind: 'failed', error: ErrorReport }>

/** Which publication of a cell's endpoints a member knows. */
export type PublicationVersion = Readonly<{ cell: CellId, epoch: Epoch, revision: number }>

/** A cell's endpoints as its owner published them last. */
export type EndpointsNotice = Extract<PeerNotice, { kind: 'endpoints' }>

/** A key that members prove to know when they connect. */
export type PeerKey = Readonly<{ id: string, secret: string }>
