/**
 * The rows of job scheduling: their tables, keys and encodings.
 */
import { brand, type Epoch, type Incarnation, type JobId, type RowVersion, type ServiceName, type WorkerId } from '@auburnpin/common'
import type { Job, JobProgress, LearntDisturbance } from '@auburnpin/core'
import { JOB_PARTS } from './constants.ts'

/** Jobs as accepted, and their cancellations. */
export const JOBS_TABLE = 'jobs'
/** What is durable of each job's progress. */
export const PROGRESS_TABLE = 'progress'
/** The term of each cell's owner, and the workers that it uses. */
export const TERMS_TABLE = 'terms'

export const TERM_KEY = 'term'
export const USED_WORKERS_KEY = 'workers'
export const LEARNT_KEY = 'learnt'

export const NO_ROW = brand<RowVersion>(0)

const CANCEL_SUFFIX = '~cancelled'
/** Sorts after every suffix of a job's keys. */
const KEYS_END = '~~'

/** Key of the row that cancels a job. */
export const cancelKey = (job: JobId): string => `${job}${CANCEL_SUFFIX}`

/** The job that a key cancels, or `undefined`. */
export const cancelledBy = (key: string): JobId | undefined =>
  key.endsWith(CANCEL_SUFFIX) ? brand<JobId>(key.slice(0, -CANCEL_SUFFIX.length)) : undefined

/** The keys of all rows of one job. */
export const keysOfJob = (job: JobId): Readonly<{ from: string, to: string }> => ({ from: job, to: `${job}${KEYS_END}` })

/** The part that holds a job's rows: by its last character, which clients choose at random. */
export const partOfJob = (job: JobId): string => partName((job.codePointAt(job.length - 1) ?? 0) % JOB_PARTS)

/** All parts of the table of jobs. */
export const jobParts = (): readonly string[] => Array.from({ length: JOB_PARTS }, (_, index) => partName(index))

const partName = (index: number): string => `jobs-${index}`

/** The owner of a cell. */
export type Term = Readonly<{
  /** The process that owns it; empty after it has given the term up. */
  holder: string
  /** Names one life of the process. */
  life: string
  epoch: Epoch
  /** Rises with every commit, so that a commit whose answer was lost can be recognised. */
  commit: number
  /** Jobs of each queue of which no task has started. */
  pending: Readonly<Record<string, number>>
  /** Workers that the owner uses, which tell how much processor the cell needs. */
  workers: number
}>

/** A worker that an owner may have sent orders to. */
export type UsedWorker = Readonly<{ id: WorkerId, incarnation: Incarnation, address: string, service: ServiceName }>

/** Writes a row's value. */
export const encodeRow = (value: Job | JobProgress | Term | LearntDisturbance | readonly UsedWorker[] | Readonly<{ cancelledAt: number }>): string => JSON.stringify(value)

// Only this program writes these rows.
export const readJob = (value: string): Job => JSON.parse(value) as Job
export const readProgress = (value: string): JobProgress => JSON.parse(value) as JobProgress
export const readLearnt = (value: string): LearntDisturbance => JSON.parse(value) as LearntDisturbance
export const readTerm = (value: string): Term => JSON.parse(value) as Term
export const readUsedWorkers = (value: string): readonly UsedWorker[] => JSON.parse(value) as readonly UsedWorker[]
