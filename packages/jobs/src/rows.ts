/**
 * Tables, keys and encodings of the rows that job scheduling stores.
 */
import { brand, type Epoch, type Incarnation, type JobId, type RowVersion, type ServiceName, type WorkerId } from '@auburnpin/common'
import type { Job, JobProgress, FillerInterferenceState } from '@auburnpin/core'
import { JOB_PART_COUNT } from './constants.ts'

/** Accepted jobs, and their cancellations. */
export const JOBS_TABLE = 'jobs'
/** Progress of each job. */
export const PROGRESS_TABLE = 'progress'
/** The current term of each cell, the workers that its owner uses, and its interference estimates. */
export const TERMS_TABLE = 'terms'

export const TERM_KEY = 'term'
const USED_WORKERS_KEY = 'workers'
export const ESTIMATES_KEY = 'learnt'

/** Version of a row that does not exist. */
export const ABSENT_ROW_VERSION = brand<RowVersion>(0)

const CANCEL_SUFFIX = '~cancelled'
/** Sorts after every other suffix of a job's keys. */
const LAST_SUFFIX = '~~'

/** Key of the row that records the cancellation of a job. */
export const cancelKey = (job: JobId): string => `${job}${CANCEL_SUFFIX}`

/** The job whose cancellation a key records; `undefined` for any other key. */
export const cancelledJob = (key: string): JobId | undefined =>
  key.endsWith(CANCEL_SUFFIX) ? brand<JobId>(key.slice(0, -CANCEL_SUFFIX.length)) : undefined

/** Key range of all rows of one job in the jobs table. */
export const jobKeyRange = (job: JobId): Readonly<{ from: string, to: string }> => ({ from: job, to: `${job}${LAST_SUFFIX}` })

/** The part that holds a job's rows. Jobs are distributed by the last character of their id, which clients choose at random. */
export const jobPart = (job: JobId): string => partName((job.codePointAt(job.length - 1) ?? 0) % JOB_PART_COUNT)

/** Names of all parts of the jobs table. */
export const allJobParts = (): readonly string[] => Array.from({ length: JOB_PART_COUNT }, (_, index) => partName(index))

const partName = (index: number): string => `jobs-${index}`

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
  /** Number of workers that the owner uses; determines how much processor time the cell needs. */
  workers: number
}>

/** A worker that an owner may have sent orders to; the next owner must receive its report or wait until its lease has expired. */
export type UsedWorker = Readonly<{ id: WorkerId, incarnation: Incarnation, address: string, service: ServiceName }>

/** Workers in one row, so that a row stays within the store's limit however many workers there are: an id has up to 200 bytes. */
const USED_WORKERS_PER_ROW = 100

/** Key and content of each row that records used workers. */
export const divideUsedWorkers = (workers: readonly UsedWorker[]): ReadonlyMap<string, readonly UsedWorker[]> => {
  const rows = new Map<string, readonly UsedWorker[]>()
  for (let from = 0; from < workers.length; from += USED_WORKERS_PER_ROW) {
    rows.set(`${USED_WORKERS_KEY}-${from / USED_WORKERS_PER_ROW}`, workers.slice(from, from + USED_WORKERS_PER_ROW))
  }
  return rows
}

/** Whether a row records used workers; earlier versions stored all in one row, whose key has no number. */
export const isUsedWorkersKey = (key: string): boolean => key === USED_WORKERS_KEY || key.startsWith(`${USED_WORKERS_KEY}-`)

/** Encodes the value of a row. */
export const encodeRow = (value: Job | JobProgress | Term | FillerInterferenceState | readonly UsedWorker[] | Readonly<{ cancelledAt: number }>): string => JSON.stringify(value)

// The values are not validated, as only this program writes these rows.
export const readJob = (value: string): Job => JSON.parse(value) as Job
export const readProgress = (value: string): JobProgress => JSON.parse(value) as JobProgress
export const readEstimates = (value: string): FillerInterferenceState => JSON.parse(value) as FillerInterferenceState
export const readTerm = (value: string): Term => JSON.parse(value) as Term
export const readUsedWorkers = (value: string): readonly UsedWorker[] => JSON.parse(value) as readonly UsedWorker[]
