/**
 * Tables, keys and encodings of the rows that job scheduling stores.
 */
import { brand, type CellId, type Epoch, type Incarnation, type JobId, type RowVersion, type ServiceName, type WorkerId } from '@auburnpin/common'
import { NO_WORKERS, type CellLoad, type CellBacklog, type CellWaits, type CellWorkers, type Delegation, type FillerInterferenceState, type FreePieces, type Job, type JobPhase, type JobProgress, type JobRecord, type JobStep, type Layout } from '@auburnpin/core'
import { FIRST_CELL, JOB_PART_COUNT } from './constants.ts'
import type { DelegationReport, DelegationRow } from './delegationRows.ts'
import type { StoreTime } from './RowStore.ts'

/** Accepted jobs, and their cancellations. */
export const JOBS_TABLE = 'jobs'
/** The phases of jobs that have ended and whose rows have left the other tables. In the parts of the jobs table. */
export const ENDED_JOBS_TABLE = 'ended-jobs'
/** Progress of each job. */
export const PROGRESS_TABLE = 'progress'
/** The current term of each cell, the workers that its owner uses, and its interference estimates. */
export const TERMS_TABLE = 'terms'

export const TERM_KEY = 'term'
/** In the part of the first cell: the version of the layout and the number of cells. */
export const LAYOUT_KEY = 'layout'
const LAYOUT_CELL_PREFIX = `${LAYOUT_KEY}-`
const USED_WORKERS_KEY = 'workers'
export const ESTIMATES_KEY = 'learnt'

/** Version of a row that does not exist. */
export const ABSENT_ROW_VERSION = brand<RowVersion>(0)

const SEGMENT_SEPARATOR = '~'
const GUEST_SEPARATOR = '~guest-'
const CANCEL_SUFFIX = '~cancelled'
/** Sorts after every other suffix of a job's keys. */
const LAST_SUFFIX = '~~'

/** Key of the row that records the cancellation of a job. */
export const cancelKey = (job: JobId): string => `${job}${CANCEL_SUFFIX}`

/** The job whose cancellation a key records; `undefined` for any other key. */
export const cancelledJob = (key: string): JobId | undefined =>
  key.endsWith(CANCEL_SUFFIX) ? brand<JobId>(key.slice(0, -CANCEL_SUFFIX.length)) : undefined

/**
 * Key of the row of one segment of a job's progress; the row of the first one has the job's id. In a cell that only runs some of the
 * job's tasks all keys differ from that, as whoever asks for the job's phase reads the row with its id.
 */
export const progressKey = ({ job: { id }, isGuest }: Pick<JobRecord, 'job' | 'isGuest'>, segment: number): string => {
  if (isGuest) return `${id}${GUEST_SEPARATOR}${segment}`
  return segment === 0 ? id : `${id}${SEGMENT_SEPARATOR}${segment}`
}

/** Keys of all rows that a job's progress may have. */
export const progressKeys = (record: JobRecord): readonly string[] => Array.from({ length: record.segmentCount }, (_, segment) => progressKey(record, segment))

/** The job whose progress a row is part of. */
export const jobOfProgress = (key: string): JobId => brand<JobId>(key.split(SEGMENT_SEPARATOR, 1)[0] ?? '')

/** Key range of all rows of one job in the jobs table. */
export const jobKeyRange = (job: JobId): Readonly<{ from: string, to: string }> => ({ from: job, to: `${job}${LAST_SUFFIX}` })

/** The part that holds a job's rows. Jobs are distributed by the last character of their id, which clients choose at random. */
export const jobPart = (job: JobId): string => partName((job.codePointAt(job.length - 1) ?? 0) % JOB_PART_COUNT)

/** Names of all parts of the jobs table. */
export const allJobParts = (): readonly string[] => Array.from({ length: JOB_PART_COUNT }, (_, index) => partName(index))

const partName = (index: number): string => `jobs-${index}`

const CELL_PREFIX = 'cell-'

/** Name of the cell with an index; its rows are in the part of this name. */
export const cellAt = (index: number): CellId => brand<CellId>(`${CELL_PREFIX}${index}`)

/** Index of a cell. */
export const indexOfCell = (cell: CellId): number => Number(cell.slice(CELL_PREFIX.length))

/** State of all cells of a deployment with several, as the owner of the first cell last saw them. */
export type PublishedCells = Readonly<{
  layoutVersion: number
  loads: readonly CellLoad[]
  /** For all cells but the first: number of jobs of each queue that have no started task. */
  pending: Readonly<Record<string, number>>
  /** For each cell but the first: the tasks that its owner keeps in memory, `null` if it doesn't say. */
  keptTasks?: ReadonlyArray<number | null>
  /** For each cell but the first: its forecast of waits, `null` without one. Absent unless forecasts are published. */
  waits?: ReadonlyArray<CellWaits | null>
  /** The same for its backlog of accepted work. */
  backlogs?: ReadonlyArray<CellBacklog | null>
}>

/** One period in which a process owns a cell. */
export type Term = Readonly<{
  /** Name of the owner; empty once it has released the term. */
  holder: string
  /** Identifies one incarnation of the owner. */
  life: string
  epoch: Epoch
  /** Rises with every commit, which identifies a commit whose response was lost. */
  commit: number
  /** Number of jobs of each queue that have no started task. */
  pending: Readonly<Record<string, number>>
  /** Number of tasks that the owner keeps in memory. Absent in rows of earlier versions. */
  keptTasks?: number | undefined
  /** Number of workers that the owner uses; determines how much processor time the cell needs. */
  workers: number
  /** In a deployment with several cells: processors that running and waiting tasks need, as a percentage of all. */
  loadPercent?: number
  /** In a deployment with several cells: number of the workers in evacuated data centres, if any. */
  evacuatedWorkers?: number
  /** In a deployment with several cells: free capacity for tasks that other cells can't hold. Owners of earlier versions publish none and get no such tasks. */
  free?: FreePieces
  /** The same once all tasks have ended that end by themselves. */
  freeLater?: FreePieces
  /** In the term of the first of several cells. */
  cells?: PublishedCells
  /** How long new jobs would wait in this cell. Absent if none would, or unless forecasts are published. */
  waits?: CellWaits
  /** Accepted work of this cell that waits. Absent if there is little, or unless it is published. */
  backlog?: CellBacklog
  /**
   * Whether the ends of leases in the rows of used workers hold. An owner of an earlier version writes them back
   * unchanged although it extends leases, and doesn't write this field.
   */
  areLeaseEndsRecorded?: boolean
  /**
   * The first epoch since which every owner has stored a run of a long-running task in place of the known one before it ordered it.
   * An owner of an earlier version doesn't, and doesn't write this field.
   */
  knownRunsSince?: Epoch | undefined
}>

/** A job, and the cell that it was assigned to when it was accepted. */
export type AssignedJob = Readonly<{ job: Job, cell: CellId }>

/** A worker that an owner may have sent orders to; the next owner must receive its report or wait until its lease has expired. */
export type UsedWorker = Readonly<{
  id: WorkerId
  incarnation: Incarnation
  address: string
  service: ServiceName
  /** What is added to the epochs of terms in orders for the worker; see `CellWorkers`. */
  epochOffset?: number
  /** From then on no lease that an owner so far extended is running on the worker. While it is stored, no owner extends one. */
  leaseOverAt?: StoreTime
  /** From then on no lease is running that calls for earlier incarnations may have set on this one; absent if it ends before the ordinary ones. */
  inheritedLeaseOverAt?: StoreTime
}>

/** Stands for an end of a lease that is not known yet; an owner then waits for the longest that there can be. */
export const UNKNOWN_LEASE_END = brand<StoreTime>(Number.MAX_SAFE_INTEGER)

/** Most workers in one row, so that the change of one doesn't write too many. */
const USED_WORKERS_PER_ROW = 100

/** Key and content of each row that records used workers; a row has at most `maxBytes`, unless one worker alone takes more. */
export const divideUsedWorkers = (workers: readonly UsedWorker[], maxBytes: number): ReadonlyMap<string, readonly UsedWorker[]> => {
  const rows = new Map<string, UsedWorker[]>()
  let row: UsedWorker[] = []
  let bytes = 0
  for (const worker of workers) {
    // Times of the store take the place of ends that the next commit may add.
    const ownBytes = Buffer.byteLength(JSON.stringify(worker)) + LEASE_END_BYTES
    if (row.length === 0 || row.length >= USED_WORKERS_PER_ROW || bytes + ownBytes > maxBytes) {
      row = []
      bytes = '[]'.length
      rows.set(`${USED_WORKERS_KEY}-${rows.size}`, row)
    }
    row.push(worker)
    bytes += ownBytes
  }
  return rows
}

const LEASE_END_BYTES = '"leaseOverAt":9007199254740991,"inheritedLeaseOverAt":9007199254740991,,'.length

/** Whether a row records used workers; earlier versions stored all in one row, whose key has no number. */
export const isUsedWorkersKey = (key: string): boolean => key === USED_WORKERS_KEY || key.startsWith(`${USED_WORKERS_KEY}-`)

/** Encodes the value of a row. */
export const encodeRow = (value: JobRow | EndedJob | DelegationRow | DelegationReport | LayoutRow | CellWorkers | JobProgress | Term | FillerInterferenceState | readonly UsedWorker[] | Readonly<{ cancelledAt: number }>): string => JSON.stringify(value)

type JobRow = Job & Readonly<{ cell?: CellId }>

type LayoutRow = Readonly<{ version: number, cells: number }>

/** Encodes a job; the row of a job of the first cell names no cell. */
export const encodeJob = ({ job, cell }: AssignedJob): string => encodeRow(cell === FIRST_CELL ? job : { ...job, cell })

/** Key of the row with the workers of one cell, in the part of the first cell. */
export const layoutCellKey = (index: number): string => `${LAYOUT_CELL_PREFIX}${index}`

/** Key range of all rows of the layout. */
export const LAYOUT_KEY_RANGE = { from: LAYOUT_KEY, to: `${LAYOUT_KEY}~` } as const

/** Whether the store records more than one cell, also if the rows cannot be read. */
export const hasSeveralCells = (rows: ReadonlyArray<Readonly<{ key: string }>>): boolean => rows.some(({ key }) => key === layoutCellKey(1))

/** Reads the layout from the rows of the first cell; `undefined` if there is none or a row is invalid. */
export const readLayout = (rows: ReadonlyArray<Readonly<{ key: string, value: string }>>): Layout | undefined => {
  const values = new Map(rows.map(({ key, value }) => [key, value]))
  const row = parseRow<LayoutRow>(values.get(LAYOUT_KEY) ?? '', { version: 0, cells: 0 })
  if (row === undefined || row.cells > MAX_CELLS) return undefined
  const cells: CellWorkers[] = []
  for (let index = 0; index < row.cells; index++) {
    const cell = readCellWorkers(values.get(layoutCellKey(index)))
    if (cell === undefined) return undefined
    cells.push(cell)
  }
  return cells.length === 0 ? undefined : { version: row.version, cells }
}

/** Reads the workers of one cell; without a row, the cell has none. `undefined` if the row is invalid. */
export const readCellWorkers = (value: string | undefined): CellWorkers | undefined =>
  value === undefined ? NO_WORKERS : parseRow<CellWorkers>(value, { racks: [''], services: {}, epochOffsets: {} })

/** Most tasks of a step that is read; a larger number is a damaged row. */
const MAX_TASKS_PER_STEP = 10_000

/** Most cells of a layout that is read; a larger number is a damaged row. */
const MAX_CELLS = 10_000

const POLICY_SHAPE = { service: '', priority: 0, maxAttempts: 0, objectiveFactor: 0, objectiveMs: 0 }
const STEP_SHAPE = { taskCount: 0, processors: 0, memoryMb: 0, accelerators: 0, estimateMs: 0, after: [0], requiredLabel: '', dataRack: '', maxPerWorker: 0, image: '', latencyTargetMs: 0, mayMiss: 0 }
const JOB_SHAPE = { id: '', queue: '', policy: POLICY_SHAPE, spec: '', steps: [STEP_SHAPE], acceptedAt: 0, occurrences: 0, firstRunAt: 0, intervalMs: 0 }

// The values have to be of the types of the shape; a list has any number of values like its first one.
const hasShape = (value: unknown, shape: unknown): boolean => {
  if (Array.isArray(shape)) return Array.isArray(value) && (shape.length === 0 || value.every(item => hasShape(item, shape[0])))
  if (typeof shape !== 'object' || shape === null) return typeof value === typeof shape
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return false
  return Object.entries(shape).every(([key, inner]) => hasShape((value as Record<string, unknown>)[key], inner))
}

// `undefined` for a value that this program cannot have written, so that a damaged row concerns nothing else.
export const parseRow = <Value>(value: string, shape: unknown): Value | undefined => {
  try {
    const parsed: unknown = JSON.parse(value)
    return hasShape(parsed, shape) ? parsed as Value : undefined
  } catch {
    return undefined
  }
}

/** Each function reads the value of a row and returns `undefined` if it is invalid. */
export const readJob = ({ key, value }: Readonly<{ key: string, value: string }>): AssignedJob | undefined => {
  const row = parseRow<JobRow>(value, JOB_SHAPE)
  if (row === undefined || row.id !== key || !row.steps.every(isSoundStep)) return undefined
  const { cell = FIRST_CELL, ...job } = row
  return { job, cell }
}

/** Whether a parsed value is a job that an owner can keep in memory. */
export const isSoundJob = (value: unknown): value is Job => hasShape(value, JOB_SHAPE) && (value as Job).steps.every(isSoundStep)

// An owner keeps each task in memory; a step that depends on itself or a later one would never start.
const isSoundStep = ({ taskCount, after }: JobStep, number: number): boolean =>
  Number.isInteger(taskCount) && taskCount >= 0 && taskCount <= MAX_TASKS_PER_STEP && after.every(before => Number.isInteger(before) && before >= 0 && before < number)

export const readProgress = (value: string): JobProgress | undefined => {
  const progress = parseRow<JobProgress>(value, { phase: '', done: {}, failed: {}, checkpoints: {} })
  return progress !== undefined && isSoundProgress(progress) ? progress : undefined
}

/** Whether progress of the right shape has no value that cannot be. */
export const isSoundProgress = (progress: JobProgress): boolean =>
  JOB_PHASES.has(progress.phase) &&
    areTaskIndexes(progress.done) && areTaskIndexes(progress.started ?? {}) &&
    Object.values(progress.failed).every(failed => hasShape(failed, [0])) &&
    areAttempts(progress.crashed ?? {}) &&
    areSuspectedRuns(progress.crashedOn ?? {}) &&
    areKnownRuns(progress.knownRuns ?? {}) &&
    areDelegations(progress.delegations ?? {}) &&
    Object.values(progress.checkpoints).every(checkpoint => typeof checkpoint === 'string')

const areTaskIndexes = (indexes: unknown): boolean =>
  hasShape(indexes, {}) && Object.values(indexes as object).every(ofStep => ofStep === 'all' || hasShape(ofStep, [0]))

const areAttempts = (attempts: unknown): boolean =>
  hasShape(attempts, {}) && Object.values(attempts as object).every(ofTask => hasShape(ofTask, [0]))

const areSuspectedRuns = (runs: unknown): boolean =>
  hasShape(runs, {}) && Object.values(runs as object).every(ofTask => hasShape(ofTask, [{ attempt: 0, worker: { id: '', incarnation: 0 } }]))

const areKnownRuns = (runs: unknown): boolean =>
  hasShape(runs, {}) && Object.values(runs as object).every(run => hasShape(run, { attempt: 0, worker: { id: '', incarnation: 0 }, epoch: 0, isListed: true }))

/** Whether a value of a row has delegations by task. */
export const areDelegations = (delegations: unknown): boolean =>
  hasShape(delegations, {}) && Object.values(delegations as object).every((delegation: Partial<Delegation>) =>
    hasShape(delegation, { number: 0, lastAttempt: 0 }) && (delegation.cell === undefined || typeof delegation.cell === 'string'))

/** What is kept of a job that has ended. */
export type EndedJob = Readonly<{
  cell: CellId
  phase: JobPhase
  /** In milliseconds since 1970. */
  endedAt: number
}>

/** Reads what is kept of an ended job; `undefined` if the value is invalid. */
export const readEndedJob = (value: string): EndedJob | undefined => {
  const ended = parseRow<EndedJob>(value, { cell: '', phase: '', endedAt: 0 })
  return ended !== undefined && JOB_PHASES.has(ended.phase) ? ended : undefined
}

export const readEstimates = (value: string): FillerInterferenceState | undefined => {
  const state = parseRow<FillerInterferenceState>(value, { estimates: { bases: [[]], pairs: [[]] }, shortest: {} })
  if (state === undefined) return undefined
  const isEntry = ([key, mean, variance]: readonly unknown[]): boolean => typeof key === 'string' && typeof mean === 'number' && typeof variance === 'number'
  const { estimates: { bases, pairs }, shortest } = state
  return bases.every(isEntry) && pairs.every(isEntry) && Object.values(shortest).every(share => typeof share === 'number') ? state : undefined
}
export const readTerm = (value: string): Term | undefined => parseRow(value, { holder: '', life: '', epoch: 0, commit: 0, pending: {}, workers: 0 })
export const readUsedWorkers = (value: string): readonly UsedWorker[] | undefined => {
  const workers = parseRow<readonly UsedWorker[]>(value, [{ id: '', incarnation: 0, address: '', service: '' }])
  return workers?.map(worker => withSoundInheritedEnd(hasLeaseEnd(worker) ? worker : withoutLeaseEnd(worker)))
}

/** The same worker, for which a new owner waits as long as any lease can last. */
export const withoutLeaseEnd = ({ leaseOverAt, ...worker }: UsedWorker): UsedWorker => worker

/** The same worker without anything about its leases. */
export const withoutLeaseEnds = ({ leaseOverAt, inheritedLeaseOverAt, ...worker }: UsedWorker): UsedWorker => worker

const hasLeaseEnd = ({ leaseOverAt }: UsedWorker): boolean => isStoreTime(leaseOverAt)

const withSoundInheritedEnd = (worker: UsedWorker): UsedWorker =>
  worker.inheritedLeaseOverAt === undefined || isStoreTime(worker.inheritedLeaseOverAt) ? worker : { ...worker, inheritedLeaseOverAt: UNKNOWN_LEASE_END }

const isStoreTime = (time: unknown): boolean => Number.isSafeInteger(time) && Number(time) >= 0

const JOB_PHASES: ReadonlySet<string> = new Set<JobPhase>(['queued', 'active', 'completed', 'failed', 'cancelled'])
