/**
 * Second runs of tasks whose run falls far behind.
 */
import type { ServiceName } from '@auburnpin/common'
import { chooseWorker } from './chooseWorker.ts'
import { findLateness, type Lateness } from './findLateness.ts'
import type { PlacedTask } from './placeTasks.ts'
import type { PlacingContext } from './PlacingContext.ts'
import type { StepRecord } from './StepRecord.ts'
import type { RunRecord, TaskRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Most runs that a task of a speculative step has at the same time. */
export const MAX_SPECULATIVE_RUNS = 2

/**
 * Share of a service's processors that copies leave free for tasks that are submitted next. Long-running tasks reserve
 * some nine tenths of the processors, so that a larger share would allow no copy under load.
 */
const FREE_SHARE = 0.02

/**
 * Largest share of the running work of a service that its copies may be. With three stragglers in a hundred, copies that
 * take as long as an ordinary run are 3 % of it; a burst of stragglers or the loss of a rack needs more.
 */
const COPY_SHARE = 0.1

/**
 * Places a copy of each run that is expected to end much later than a new run would, the latest first: on another worker,
 * if possible in another rack. Only steps that allow it get copies, and only while no short task of the service
 * waits for room, enough processors are free and copies are a small part of the running work. Must come after all waiting tasks
 * have been placed. Designed for loads of which a few runs take several times as long and delay their jobs.
 *
 * @example
 * yield * placeCopies(openSteps, workers, candidates, context)
 */
export function * placeCopies (steps: Iterable<StepRecord>, workers: readonly WorkerRecord[], candidates: readonly WorkerRecord[], context: PlacingContext): Generator<PlacedTask> {
  const openSteps = [...steps]
  const copyable = openSteps.filter(mayHaveCopies)
  if (copyable.length === 0 || !context.copyInterval.startSearch(context.now)) return
  const late = findLateRuns(copyable, crowdedServices(openSteps, context), context)
  if (late.length === 0) return
  const services = measureUsage(workers, candidates)
  for (const lateness of late) {
    const { task } = lateness.run
    const usage = services.get(task.step.job.job.policy.service)
    if (usage?.allowsCopy(task.step.shape) !== true) continue
    const worker = chooseCopyWorker(lateness.run, candidates, context)
    if (worker === undefined) continue
    usage.addCopy(task.step.shape)
    yield { task, worker, lateness }
  }
}

// The latest first.
const findLateRuns = (steps: readonly StepRecord[], crowded: ReadonlySet<string>, { durations, now }: PlacingContext): Lateness[] => {
  const late: Lateness[] = []
  for (const step of steps) {
    const learnt = durations.learnt(step)
    if (learnt === undefined || crowded.has(crowdKey(step))) continue
    for (const task of step.tasks) {
      const [run] = task.runs
      const lateness = run !== undefined && mayHaveCopy(task) ? findLateness(run, learnt, now) : undefined
      if (lateness !== undefined) late.push(lateness)
    }
  }
  return late.sort((one, other) => other.remainingMs - one.remainingMs)
}

const measureUsage = (workers: readonly WorkerRecord[], candidates: readonly WorkerRecord[]): ReadonlyMap<ServiceName, ServiceUsage> => {
  const services = new Map<ServiceName, ServiceUsage>()
  for (const { entry: { service }, runs } of workers) {
    const usage = services.get(service) ?? new ServiceUsage()
    services.set(service, usage)
    for (const run of runs.values()) usage.addRun(run)
  }
  for (const worker of candidates) services.get(worker.entry.service)?.addWorker(worker)
  return services
}

// The tasks of a gang end together, and a serving task or one without an end has no duration to compare.
const mayHaveCopies = ({ shape }: StepRecord): boolean => shape.isSpeculative && !shape.isLasting && !shape.isGang && shape.latencyTargetMs === 0

// A copy must neither hide which task crashes workers, nor fail the job while the first run goes on.
const mayHaveCopy = ({ runs, isDone, crashes, failedAttempts, step: { job } }: TaskRecord): boolean =>
  runs.length === 1 && runs[0]?.hasSurvivedStart === true && !isDone && crashes.toStore.length === 0 && (crashes.hasSurvived || job.isNewInTerm) && failedAttempts.length < job.job.policy.maxAttempts - 1

// Fillers use no processors that other tasks could reserve, so that waiting fillers delay only copies of fillers.
const crowdKey = ({ job: { job: { policy: { service } } }, shape }: StepRecord): string => `${service} ${shape.isFiller}`

const crowdedServices = (steps: readonly StepRecord[], context: PlacingContext): ReadonlySet<string> => {
  const crowded = new Set<string>()
  for (const step of steps) {
    const { job: { job: { policy: { service } } }, shape } = step
    // Some long-running tasks always wait for room, and a copy takes it for the time of one task.
    if (shape.isLasting || context.delays.isDelayed(step) || !waitsForRoom(step)) continue
    crowded.add(`${service} true`)
    if (!shape.isFiller) crowded.add(`${service} false`)
  }
  return crowded
}

// A task may also wait for a label or an accelerator, or until it can be told from other suspects.
const waitsForRoom = ({ waiting, shape }: StepRecord): boolean => {
  if (shape.requiredLabel !== '' || shape.accelerators > 0 || shape.maxPerWorker > 0) return false
  for (const task of waiting) if (!task.isOnTrial) return true
  return false
}

// Near its data or its group a task is faster, which outweighs the risk of another slow worker in the same rack.
const chooseCopyWorker = ({ task, worker: { entry } }: RunRecord, candidates: readonly WorkerRecord[], { held, interference, now }: PlacingContext): WorkerRecord | undefined => {
  const { isOneRack, dataRack } = task.step.shape
  const isInRack = (other: WorkerRecord): boolean => other.entry.rack === entry.rack && other.entry.zone === entry.zone
  const preferred = isOneRack ? candidates.filter(isInRack) : dataRack === '' && entry.rack !== '' ? candidates.filter(other => !isInRack(other)) : candidates
  return chooseWorker(task, preferred, held, interference, now) ?? chooseWorker(task, candidates, held, interference, now)
}

/** Processors of one service, in thousandths of a core. */
class ServiceUsage {
  #available = 0
  #free = 0
  #fillers = 0
  #running = 0
  #copies = 0

  addRun ({ task, attempt }: RunRecord): void {
    const { shape } = task.step
    if (shape.isFiller) this.#fillers += shape.processors
    if (!shape.isLasting) this.#running += shape.processors
    // A run counts as a copy while an older run of its task exists.
    if (task.runs.length > 1 && task.runs.some(other => other.attempt < attempt)) this.#copies += shape.processors
  }

  addWorker ({ entry, processorsUsed }: WorkerRecord): void {
    this.#available += entry.processors
    this.#free += Math.max(0, entry.processors - processorsUsed)
  }

  /** Whether a copy leaves enough processors free and stays within the budget; a single copy always does. */
  allowsCopy ({ processors, isFiller }: JobStep): boolean {
    const free = this.#free - (isFiller ? this.#fillers : 0)
    if (free - processors < this.#available * FREE_SHARE) return false
    return this.#copies === 0 || this.#copies + processors <= this.#running * COPY_SHARE
  }

  addCopy ({ processors, isFiller }: JobStep): void {
    this.#copies += processors
    this.#running += processors
    if (isFiller) this.#fillers += processors
    else this.#free -= processors
  }
}
