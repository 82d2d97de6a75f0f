/**
 * Placement of waiting tasks on workers.
 */
import type { Instant } from '@auburnpin/common'
import { chooseWorker } from './chooseWorker.ts'
import type { FillerInterference } from './FillerInterference.ts'
import { reserveWorkers } from './reserveWorkers.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** A task and the worker on which it is to start. */
export type PlacedTask = Readonly<{ task: TaskRecord, worker: WorkerRecord }>

/**
 * Places waiting tasks, the most urgent job first. A task that does not fit anywhere does not block others that
 * need less. Designed for bursts in which more tasks wait than fit. The caller must add each run to its worker
 * before it takes the next one, since the worker tracks its used capacity.
 *
 * @example
 * for (const { task, worker } of placeTasks(openSteps, workers, interference, now, wallTime)) start(task, worker)
 */
export function * placeTasks (steps: Iterable<StepRecord>, workers: Iterable<WorkerRecord>, interference: FillerInterference, now: Instant, wallTime: number): Generator<PlacedTask> {
  const candidates = [...workers].filter(worker => worker.acceptsWork(now))
  if (candidates.length === 0) return
  const reserved = reserveWorkers(candidates)
  const unreserved = candidates.filter(worker => !reserved.has(worker))
  const refused: StepRecord[] = []
  for (const step of orderSteps(steps, wallTime)) {
    if (refused.some(other => needsAtLeast(step, other))) continue
    for (const task of restartsFirst(step.waiting)) {
      const worker = chooseWorker(task, task.isNewServing ? unreserved : candidates, interference, now)
      if (worker === undefined) {
        if (isUnconstrained(step.shape) && !task.isNewServing) refused.push(step)
        break
      }
      yield { task, worker }
    }
  }
}

// Tasks that ran before may use reserved workers, so they must not wait behind new ones that may not.
const restartsFirst = (waiting: ReadonlySet<TaskRecord>): readonly TaskRecord[] =>
  [...waiting].sort((one, other) => Number(other.hasRun) - Number(one.hasRun))

type RankedStep = Readonly<{ step: StepRecord, timeliness: number, objectiveAt: number, work: number }>

const orderSteps = (steps: Iterable<StepRecord>, wallTime: number): StepRecord[] => {
  const waiting: RankedStep[] = []
  for (const step of steps) {
    if (step.waiting.size > 0) waiting.push({ step, timeliness: timelinessOf(step, wallTime), objectiveAt: step.job.objectiveAt(step.occurrence), work: step.job.remainingWork(step.occurrence) })
  }
  return waiting.sort(compareSteps).map(({ step }) => step)
}

/** Whether a job can still end within its objective, late but useful, or too late to be useful. */
const IN_TIME = 0
const LATE = 1
const USELESS = 2

const timelinessOf = ({ job, occurrence, number, shape }: StepRecord, wallTime: number): number => {
  if (shape.isLasting) return IN_TIME
  const endsAt = wallTime + job.remainingMs(number)
  if (endsAt <= job.objectiveAt(occurrence)) return IN_TIME
  return endsAt <= job.uselessAfter(occurrence) ? LATE : USELESS
}

// When more tasks wait than fit, jobs that can no longer meet their objective must not delay the others. Among jobs of
// equal priority, those with the least remaining work come first, so that most jobs meet their objective. Long-running
// steps come after tasks that end soon, in the order of their acceptance, as their work has no end to compare.
const compareSteps = (one: RankedStep, other: RankedStep): number => {
  if (one.timeliness !== other.timeliness) return one.timeliness - other.timeliness
  const priority = one.step.job.job.policy.priority - other.step.job.job.policy.priority
  if (priority !== 0) return priority
  const { shape, job: { job } } = one.step
  const { shape: otherShape, job: { job: otherJob } } = other.step
  if (shape.isLasting !== otherShape.isLasting) return Number(shape.isLasting) - Number(otherShape.isLasting)
  if (shape.isLasting) return job.acceptedAt - otherJob.acceptedAt
  return one.work !== other.work ? one.work - other.work : one.objectiveAt - other.objectiveAt
}

// If an unconstrained task fits nowhere, neither does any task of the service that needs at least as much. Fillers of
// another image may fit, as they may interfere less with serving tasks.
const needsAtLeast = (step: StepRecord, refused: StepRecord): boolean => {
  const { shape, job: { job: { policy: { service } } } } = step
  const { shape: other } = refused
  if (service !== refused.job.job.policy.service || shape.isFiller !== other.isFiller || (shape.isFiller && shape.image !== other.image)) return false
  return shape.processors >= other.processors && shape.memoryMb >= other.memoryMb && shape.accelerators >= other.accelerators
}

const isUnconstrained = (shape: JobStep): boolean =>
  shape.requiredLabel === '' && shape.maxPerWorker === 0
