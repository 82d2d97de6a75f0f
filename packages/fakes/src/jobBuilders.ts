/**
 * Builds jobs, steps and worker entries for tests.
 */
import { brand, type Incarnation, type JobId, type QueueName, type ServiceName, type WorkerId } from '@auburnpin/common'
import type { Job, JobStep, WorkerEntry } from '@auburnpin/core'

const DEFAULT_STEP: JobStep = {
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

/** A step of one task without special properties, with overrides. */
export const stepOf = (overrides: Partial<JobStep> = {}): JobStep => ({ ...DEFAULT_STEP, ...overrides })

/** A job with the given steps, with overrides. */
export const jobOf = (id: string, steps: readonly JobStep[], overrides: Partial<Job> = {}): Job => ({
  id: brand<JobId>(id),
  queue: brand<QueueName>('drafts'),
  policy: { service: brand<ServiceName>('desk'), priority: 0, maxAttempts: 3, objectiveFactor: 2, objectiveMs: 1_000 },
  spec: 'work',
  steps,
  acceptedAt: 0,
  occurrences: 0,
  firstRunAt: 0,
  intervalMs: 0,
  ...overrides
})

/** The entry of a worker's first incarnation, with 8 cores and ample memory, with overrides. */
export const workerEntryOf = (id: string, overrides: Partial<WorkerEntry> = {}): WorkerEntry => ({
  id: brand<WorkerId>(id),
  incarnation: brand<Incarnation>(1),
  address: '',
  service: brand<ServiceName>('desk'),
  zone: '',
  rack: '',
  isDraining: false,
  labels: [],
  processors: 8_000,
  memoryMb: 100_000,
  accelerators: 0,
  ...overrides
})
