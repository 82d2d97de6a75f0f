/**
 * Placement of jobs that have no run and can no longer meet their objective.
 */
import { chooseSlowStart, type SlowStart } from './chooseSlowStart.ts'
import { chooseWorker } from './chooseWorker.ts'
import { SLOW_START_AFTER_MS } from './constants.ts'
import { findIdleSteps } from './findIdleSteps.ts'
import { competitionKey } from './IdleJobShare.ts'
import type { JobRecord } from './JobRecord.ts'
import type { PlacedTask } from './placeTasks.ts'
import type { PlacingContext } from './PlacingContext.ts'
import { RefusedSteps } from './RefusedSteps.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { IN_TIME, timelinessOf, USELESS } from './timeliness.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Places one task of each idle job, those without a run for longest first. While jobs in time wait, only useless ones are
 * placed here, within the share of `IdleJobShare`; else all late ones are, before any other task of a late job, fillers also
 * at a reduced pace. The order of `orderSteps` alone would never run a large job that is too late while others keep coming.
 * `workersFor` returns those of the candidates that are open to a task.
 *
 * @example
 * for (const { task, worker } of placeIdleJobs(steps, workers, task => workers, refused, context)) start(task, worker)
 */
export function * placeIdleJobs (steps: readonly StepRecord[], candidates: readonly WorkerRecord[], workersFor: (task: TaskRecord) => readonly WorkerRecord[], refused: RefusedSteps, context: PlacingContext): Generator<PlacedTask> {
  const { waits: { idleJobs: { share } } } = context
  const contended = contendedKeys(steps, context)
  const refusedSlowly = new RefusedSteps(candidates.length)
  const placed = new Set<JobRecord>()
  for (const step of findIdleSteps(steps, context)) {
    const isContended = contended.has(competitionKey(step))
    if (placed.has(step.job) || (isContended && !(share.allows(step) && timelinessOf(step, context.wallTime) === USELESS))) continue
    const task = firstTask(step)
    if (task === undefined) continue
    const start = chooseStart(task, workersFor(task), refused, context) ?? (isContended ? undefined : chooseReducedStart(task, workersFor(task), refusedSlowly, context))
    if (start === undefined) continue
    placed.add(step.job)
    if (isContended) share.charge(step)
    yield { task, ...start }
  }
}

const chooseStart = (task: TaskRecord, workers: readonly WorkerRecord[], refused: RefusedSteps, { held, interference, now }: PlacingContext): Pick<PlacedTask, 'worker'> | undefined => {
  if (refused.includes(task.step)) return undefined
  const worker = chooseWorker(task, workers, held, interference, now)
  if (worker !== undefined) return { worker }
  refused.add(task.step, workers)
  return undefined
}

const chooseReducedStart = (task: TaskRecord, workers: readonly WorkerRecord[], refused: RefusedSteps, { held, interference, waits: { idleJobs }, now }: PlacingContext): SlowStart | undefined => {
  const { step } = task
  if (!step.shape.isFiller || idleJobs.idleMs(step.job, now) < SLOW_START_AFTER_MS || refused.includes(step)) return undefined
  const start = chooseSlowStart(task, workers, held, interference, now)
  if (start === undefined) refused.add(step, workers)
  return start
}

// The processors that jobs in time wait for.
const contendedKeys = (steps: readonly StepRecord[], { wallTime }: PlacingContext): ReadonlySet<string> => {
  const keys = new Set<string>()
  for (const step of steps) if (!step.shape.isLasting && timelinessOf(step, wallTime) === IN_TIME) keys.add(competitionKey(step))
  return keys
}

const firstTask = ({ waiting }: StepRecord): TaskRecord | undefined => {
  for (const task of waiting) if (!task.isOnTrial) return task
  return undefined
}
