/**
 * Jobs and steps for tests, plain unless told otherwise.
 */
import { brand, type Incarnation, type JobId, type QueueName, type ServiceName, type WorkerId } from '@auburnpin/common'
import type { Job, JobStep, WorkerEntry } from '@auburnpin/core'

const PLAIN_STEP: JobStep = {
  taskCount: 1,
  processors: 1_000,
  memoryMb: 100,
  accelerators: 0,
  estimateMs: 500,
  after: [],
  isCheckpointing: false,
  isGang: false,
  isOneRack: false,
  requiredLabel: '',
  dataRack: '',
  maxPerWorker: 0,
  isSpeculative: false,
  isLasting: false,
  image: '',
  latencyTargetMs: 0,
  isFiller: false,
  mayMiss: 0
}

/** A step, plain unless told otherwise. */
export const stepOf = (more: Partial<JobStep> = {}): JobStep => ({ ...PLAIN_STEP, ...more })

/** A job with these steps. */
export const jobOf = (id: string, steps: readonly JobStep[], more: Partial<Job> = {}): Job => ({
  id: brand<JobId>(id),
  queue: brand<QueueName>('drafts'),
  policy: { service: brand<ServiceName>('desk'), priority: 0, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 },
  spec: 'work',
  steps,
  acceptedAt: 0,
  occurrences: 0,
  firstRunAt: 0,
  intervalMs: 0,
  ...more
})

/** The entry of a worker's first life, of 8 cores and much memory unless told otherwise. */
export const workerEntryOf = (id: string, more: Partial<WorkerEntry> = {}): WorkerEntry => ({
  id: brand<WorkerId>(id),
  incarnation: brand<Incarnation>(1),
  address: '',
  service: brand<ServiceName>('desk'),
  zone: '',
  isDraining: false,
  labels: [],
  processors: 8_000,
  memoryMb: 100_000,
  accelerators: 0,
  ...more
})
