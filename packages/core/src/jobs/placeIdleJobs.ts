/**
 * Placement of jobs that have no run and can no longer meet their objective.
 */
import { chooseSlowStart, type SlowStart } from './chooseSlowStart.ts'
import { chooseWorker } from './chooseWorker.ts'
import { MAX_IDLE_STARTS, SLOW_START_AFTER_MS } from './constants.ts'
import { findIdleSteps } from './findIdleSteps.ts'
import type { JobRecord } from './JobRecord.ts'
import type { PlacedTask } from './placeTasks.ts'
import type { PlacingContext } from './PlacingContext.ts'
import { processorKind } from './processorKind.ts'
import { RefusedSteps } from './RefusedSteps.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Places one task of each idle job, those without a run for longest first, within the share of `IdleJobShare`; fillers also
 * at a reduced pace, while no job in time waits. The order of `orderSteps` alone would never run a large job that is too
 * late while others keep coming. `workersFor` returns those of the candidates that are open to a task;
 * `closed` has the kinds of processors whose share goes to overdue jobs, see `processorKind`.
 *
 * @example
 * for (const { task, worker } of placeIdleJobs(steps, workers, task => workers, new Set(), context)) start(task, worker)
 */
export function * placeIdleJobs (steps: readonly StepRecord[], candidates: readonly WorkerRecord[], workersFor: (task: TaskRecord) => readonly WorkerRecord[], closed: ReadonlySet<string>, context: PlacingContext): Generator<PlacedTask> {
  const { held, waits: { idleJobs: { share } } } = context
  const refused = new RefusedSteps(candidates.length)
  const refusedAtReducedPace = new RefusedSteps(candidates.length)
  const placed = new Set<JobRecord>()
  const keptForHolder = new Set(closed)
  for (const step of findIdleSteps(steps, context)) {
    if (placed.size >= MAX_IDLE_STARTS) break
    if (placed.has(step.job) || step.hasRuns || keptForHolder.has(processorKind(step.shape, step.job.job.policy))) continue
    const isContended = share.isBesideTimelyJobs(step)
    const task = firstTask(step)
    if (task === undefined) continue
    const workers = workersFor(task)
    const start = share.allows(step) ? chooseStart(task, workers, refused, context) : undefined
    if (start !== undefined) share.charge(step)
    // No other task may use what a filler uses at a reduced pace, so it needs no share.
    const slowStart = start === undefined && !isContended ? chooseStartAtReducedPace(task, workers, refusedAtReducedPace, context) : undefined
    const chosen = start ?? slowStart
    if (chosen === undefined) {
      // The share goes next to the job that holds a worker, so that smaller ones don't pass it again and again.
      if (isContended && held.isFillerHolder(step)) keptForHolder.add(processorKind(step.shape, step.job.job.policy))
      continue
    }
    placed.add(step.job)
    yield { task, ...chosen }
  }
}

const chooseStart = (task: TaskRecord, workers: readonly WorkerRecord[], refused: RefusedSteps, { held, interference, now }: PlacingContext): Pick<PlacedTask, 'worker'> | undefined => {
  if (!held.isHolder(task.step) && refused.includes(task.step)) return undefined
  const worker = chooseWorker(task, workers, held, interference, now)
  if (worker !== undefined) return { worker }
  refuse(task, workers, refused)
  return undefined
}

const chooseStartAtReducedPace = (task: TaskRecord, workers: readonly WorkerRecord[], refused: RefusedSteps, { held, interference, waits: { idleJobs }, now }: PlacingContext): SlowStart | undefined => {
  const { step } = task
  if (!step.shape.isFiller || idleJobs.idleMs(step.job, now) < SLOW_START_AFTER_MS || refused.includes(step)) return undefined
  const start = chooseSlowStart(task, workers, held, interference, now)
  if (start === undefined) refuse(task, workers, refused)
  return start
}

// A task that may crash its worker may be refused for a reason of its own.
const refuse = ({ step, crashes }: TaskRecord, workers: readonly WorkerRecord[], refused: RefusedSteps): void => {
  if (crashes.count === 0 && !crashes.areUncertain) refused.add(step, workers)
}

const firstTask = ({ waiting }: StepRecord): TaskRecord | undefined => {
  let first: TaskRecord | undefined
  for (const task of waiting) {
    if (task.isOnTrial) continue
    if (!task.crashes.areUncertain) return task
    first ??= task
  }
  return first
}
