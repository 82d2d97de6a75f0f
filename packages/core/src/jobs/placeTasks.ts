/**
 * Placement of waiting tasks on workers.
 */
import type { Lateness } from './findLateness.ts'
import { chooseWorker } from './chooseWorker.ts'
import { holdWorkers } from './holdWorkers.ts'
import { orderSteps } from './orderSteps.ts'
import { placeCopies } from './placeCopies.ts'
import { DELAYED, PlaceChooser } from './PlaceChooser.ts'
import { placeTrials } from './placeTrials.ts'
import { placeIdleJobs } from './placeIdleJobs.ts'
import { placeInterruptedTasks } from './placeInterruptedTasks.ts'
import { placeOverdueJobs } from './placeOverdueJobs.ts'
import { RefusedSteps } from './RefusedSteps.ts'
import { ServiceCapacity } from './ServiceCapacity.ts'
import { StepCandidates } from './StepCandidates.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** A task and the worker on which it is to start; with `lateness`, beside its late run, with `pacePercent`, at a reduced pace. */
export type PlacedTask = Readonly<{ task: TaskRecord, worker: WorkerRecord, lateness?: Lateness, pacePercent?: number }>

/**
 * Places waiting tasks: interrupted long-running tasks first, then overdue and idle jobs within their share, then the most urgent job.
 * A task that does not fit anywhere does not block others that need less, unless it has waited long and holds a worker.
 * Designed for bursts in which more tasks wait than fit. The caller must add each run to its worker before it takes the next one, since the worker tracks
 * its used capacity.
 *
 * @example
 * for (const { task, worker } of placeTasks(openSteps, workers, context)) start(task, worker)
 */
export function * placeTasks (steps: Iterable<StepRecord>, workers: Iterable<WorkerRecord>, context: PlacingContext): Generator<PlacedTask> {
  const { held, interference, reserve, waits, now, wallTime } = context
  const allWorkers = [...workers]
  waits.idleJobs.observe(steps, now, wallTime)
  const available = allWorkers.filter(worker => worker.acceptsRestarts(now))
  const waitingSteps = [...steps].filter(({ waiting }) => waiting.size > 0)
  yield * placeTrials(waitingSteps, available, context)
  yield * placeInterruptedTasks(waitingSteps, available, context)
  const candidates = available.filter(worker => worker.acceptsWork(now))
  if (candidates.length === 0) return
  const reserved = reserve.select(candidates, now)
  const workersFor = (task: TaskRecord): readonly WorkerRecord[] => reserved.openTo(task)
  const ordered = orderSteps(waitingSteps, candidates, context)
  const { share } = waits.idleJobs
  share.startPass(waitingSteps, new ServiceCapacity(candidates), wallTime)
  holdWorkers(ordered, workersFor, context)
  const closed = yield * placeOverdueJobs(waitingSteps, candidates, workersFor, context)
  yield * placeIdleJobs(waitingSteps, candidates, workersFor, closed, context)
  const places = new PlaceChooser(candidates, context)
  const refused = new RefusedSteps(candidates.length)
  for (const step of ordered) {
    if (held.isFillerHolder(step) || (!held.isHolder(step) && refused.includes(step))) continue
    let stepCandidates: StepCandidates | undefined
    for (const task of step.waiting) {
      if (task.isInterrupted || task.isOnTrial) continue
      // A task that has run may use workers that are closed to those that have not.
      const usable = workersFor(task)
      if (stepCandidates?.workers !== usable) stepCandidates = new StepCandidates(usable, held, interference, now, reserve.packs(step, now))
      const worker = places.choose(task, stepCandidates) ?? chooseWorker(task, reserved.lastResortFor(task), held, interference, now)
      if (worker === DELAYED) continue
      if (worker === undefined) {
        reserve.recordLackOfRoom(step, candidates, now, wallTime)
        refused.add(step, usable)
        break
      }
      share.recordStart(step)
      yield { task, worker }
    }
  }
  yield * placeCopies(steps, allWorkers, candidates, context)
}
