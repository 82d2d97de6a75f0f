/**
 * Which waiting tasks start now, and where.
 */
import type { Instant } from '@auburnpin/common'
import { chooseWorker } from './chooseWorker.ts'
import { SPARED_SHARE } from './constants.ts'
import type { Disturbance } from './Disturbance.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** A task and the worker it shall start on. */
export type PlacedTask = Readonly<{ task: TaskRecord, worker: WorkerRecord }>

/**
 * Places waiting tasks, the most urgent job first; a task that finds no room doesn't hold back others that
 * need less. Made for bursts in which more waits than fits. The caller must add each run to its worker
 * before it takes the next one, since room is counted there.
 *
 * @example
 * for (const { task, worker } of placeTasks(openSteps, workers, disturbance, now, wallTime)) start(task, worker)
 */
export function * placeTasks (steps: Iterable<StepRecord>, workers: Iterable<WorkerRecord>, disturbance: Disturbance, now: Instant, wallTime: number): Generator<PlacedTask> {
  const candidates = [...workers].filter(worker => worker.canTake(now))
  if (candidates.length === 0) return
  const spared = spareWorkers(candidates)
  const unspared = candidates.filter(worker => !spared.has(worker))
  const refused: JobStep[] = []
  for (const step of orderSteps(steps, wallTime)) {
    if (refused.some(shape => needsAtLeast(step.shape, shape))) continue
    for (const task of inTurn(step.waiting)) {
      const isNewServing = step.shape.latencyTargetMs > 0 && !task.hasRun
      const worker = chooseWorker(task, isNewServing ? unspared : candidates, disturbance, now)
      if (worker === undefined) {
        if (isPlain(step.shape) && !isNewServing) refused.push(step.shape)
        break
      }
      yield { task, worker }
    }
  }
}

// Tasks that ran before find room where new ones may not, so they must not wait behind those.
const inTurn = (waiting: ReadonlySet<TaskRecord>): readonly TaskRecord[] =>
  [...waiting].sort((one, other) => Number(other.hasRun) - Number(one.hasRun))

// The workers last by name, of each service its share.
const spareWorkers = (workers: readonly WorkerRecord[]): ReadonlySet<WorkerRecord> => {
  const byService = new Map<string, WorkerRecord[]>()
  for (const worker of workers) {
    const others = byService.get(worker.entry.service)
    if (others === undefined) byService.set(worker.entry.service, [worker])
    else others.push(worker)
  }
  const spared = new Set<WorkerRecord>()
  for (const ofService of byService.values()) {
    ofService.sort((one, other) => one.entry.id < other.entry.id ? 1 : -1)
    for (const worker of ofService.slice(0, Math.ceil(ofService.length * SPARED_SHARE))) spared.add(worker)
  }
  return spared
}

type RankedStep = Readonly<{ step: StepRecord, prospect: number, objectiveAt: number, work: number }>

const orderSteps = (steps: Iterable<StepRecord>, wallTime: number): StepRecord[] => {
  const waiting: RankedStep[] = []
  for (const step of steps) {
    if (step.waiting.size > 0) waiting.push({ step, prospect: prospectOf(step, wallTime), objectiveAt: step.job.objectiveAt(step.occurrence), work: step.job.remainingWork(step.occurrence) })
  }
  return waiting.sort(compareSteps).map(({ step }) => step)
}

/** What may still come of a job: in time, late, or of no use any more. */
const IN_TIME = 0
const LATE = 1
const OF_NO_USE = 2

const prospectOf = ({ job, occurrence, number, shape }: StepRecord, wallTime: number): number => {
  if (shape.isLasting) return IN_TIME
  const endsAt = wallTime + job.remainingMs(number)
  if (endsAt <= job.objectiveAt(occurrence)) return IN_TIME
  return endsAt <= job.uselessAt(occurrence) ? LATE : OF_NO_USE
}

// When more waits than fits, those that can't be in time any more must not make the others late as well, and of
// those that can the ones that need least come first, so that most jobs are in time.
const compareSteps = (one: RankedStep, other: RankedStep): number => {
  if (one.prospect !== other.prospect) return one.prospect - other.prospect
  const priority = one.step.job.job.policy.priority - other.step.job.job.policy.priority
  if (priority !== 0) return priority
  return one.work !== other.work ? one.work - other.work : one.objectiveAt - other.objectiveAt
}

// What keeps a plain task out keeps out every task that needs as much.
const needsAtLeast = (shape: JobStep, refused: JobStep): boolean =>
  shape.isFiller === refused.isFiller && shape.processors >= refused.processors && shape.memoryMb >= refused.memoryMb && shape.accelerators >= refused.accelerators

const isPlain = (shape: JobStep): boolean =>
  shape.requiredLabel === '' && shape.maxPerWorker === 0
