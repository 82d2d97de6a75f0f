/**
 * Whether the tasks of a step wait for nothing but processors.
 */
import type { DelayScheduling } from './DelayScheduling.ts'
import type { StepRecord } from './StepRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * `false` for tasks that wait for particular workers, or that no listed worker could hold even if it were empty: they
 * delay no other job.
 *
 * @example
 * if (!competesForProcessors(step, delays, workers)) continue
 */
export const competesForProcessors = (step: StepRecord, delays: DelayScheduling, workers: readonly WorkerRecord[]): boolean =>
  !needsParticularWorkers(step.shape) && !delays.isDelayed(step) && fitsSomeWorker(step, workers)

/**
 * Whether the tasks of a step can't use just any worker with free processors.
 *
 * @example
 * needsParticularWorkers(step.shape) // false
 */
export const needsParticularWorkers = ({ requiredLabel, maxPerWorker, accelerators }: JobStep): boolean => requiredLabel !== '' || maxPerWorker > 0 || accelerators > 0

const fitsSomeWorker = ({ shape, job: { job: { policy: { service } } } }: StepRecord, workers: readonly WorkerRecord[]): boolean =>
  workers.some(({ entry, isListed }) => isListed && entry.service === service && shape.processors <= entry.processors && shape.memoryMb <= entry.memoryMb)
