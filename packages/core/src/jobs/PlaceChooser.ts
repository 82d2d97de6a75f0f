/**
 * Choice of the place of a task that may prefer a rack.
 */
import { rackKey } from '../layout/assignRacks.ts'
import { chooseWorker } from './chooseWorker.ts'
import type { DelayDecision } from './DelayObserver.ts'
import { expectedRunMs, isNearData } from './expectedEnd.ts'
import type { PlacingContext } from './PlacingContext.ts'
import { RackForecast, type RackPlan } from './RackForecast.ts'
import { RackIndex, type Rack } from './RackIndex.ts'
import type { StepCandidates } from './StepCandidates.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { taskWork } from './taskWork.ts'
import type { WaitInputs } from './waitForPlace.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Choice for a task that goes on waiting for a rack although it could start elsewhere. */
export const DELAYED = 'delayed'

/** Racks with the most free processors among which a step chooses; planning all of a cell's would take most of a pass under overload. */
const MAX_PLANNED_RACKS = 8

/** What was found for the tasks of the step that was looked at last. */
type StepChoice = {
  readonly step: StepRecord
  /** Number of tasks that go on waiting for the rack with the data; absent until one doesn't fit there. */
  delayed?: number
  /** The rack that the tasks share; none if they start anywhere. Absent until it is chosen. */
  shared?: Rack | 'none'
  /** Whether the shared rack was chosen although some of the tasks have to wait for it. */
  waits?: boolean
}

/** A rack that can hold all tasks of a step, and what starting them there costs, in milliseconds. */
type RackOffer = Readonly<{ rack: Rack, plan: RackPlan, costMs: number }>

/**
 * Chooses workers within one scheduling pass. A task that prefers a rack starts there if it fits; else it waits for as
 * long as that pays, and then starts elsewhere. Nothing is kept free for tasks that wait, so that interrupted long-running
 * tasks, trials and more urgent tasks are placed as if they did not. A task that fits nowhere is treated as without a
 * preference, which bounds the cost of an overload.
 *
 * @example
 * const worker = places.choose(task, stepCandidates)
 * if (worker === DELAYED) continue
 */
export class PlaceChooser {
  readonly #context: PlacingContext
  readonly #racks: RackIndex
  readonly #forecast: RackForecast
  #choice: StepChoice | undefined
  /** A step of which a task fits on some worker; unknown once a task is placed. */
  #fitting: StepRecord | undefined

  /** `workers`: those that accept work now. */
  constructor (workers: readonly WorkerRecord[], context: PlacingContext) {
    this.#context = context
    this.#racks = new RackIndex(workers)
    this.#forecast = new RackForecast(context)
    context.delays.startPass(context.now)
  }

  /** The worker for a task, of those of its step; `undefined` if it fits nowhere. */
  choose (task: TaskRecord, anywhere: StepCandidates): WorkerRecord | typeof DELAYED | undefined {
    if (!this.#context.delays.appliesTo(task)) {
      this.#fitting = undefined
      return anywhere.choose(task)
    }
    const { step } = task
    const worker = this.#chooseByRack(task, anywhere, this.#choiceOf(step))
    if (worker === DELAYED) return worker
    this.#fitting = undefined
    const { dataRack } = step.shape
    if (worker !== undefined && dataRack !== '') this.#context.delays.demand.record(dataRack, taskWork(step.shape), this.#context.now)
    return worker
  }

  #choiceOf (step: StepRecord): StepChoice {
    if (this.#choice?.step === step) return this.#choice
    this.#choice = { step }
    return this.#choice
  }

  // What fits nowhere is left to the caller, which then passes over all steps that need as much.
  #chooseByRack (task: TaskRecord, anywhere: StepCandidates, choice: StepChoice): WorkerRecord | typeof DELAYED | undefined {
    const { step } = task
    const near = this.#chooseNear(task, choice, anywhere)
    if (near !== undefined) return near
    const isKnownToFit = this.#isKnownToFit(task)
    const elsewhere = isKnownToFit ? undefined : anywhere.choose(task)
    if (elsewhere !== undefined) this.#fitting = step
    else if (!isKnownToFit) return undefined
    if (step.shape.isOneRack) {
      choice.shared ??= this.#planSharedRack(choice) ?? 'none'
      if (choice.shared !== 'none') {
        const worker = this.#chooseFrom(task, choice.shared.workers, anywhere)
        if (worker !== undefined) return worker
        // Where no start is planned later, the forecast was wrong about the rack, and waiting for it might never end.
        if (choice.waits === true) return DELAYED
      }
    } else {
      choice.delayed ??= this.#planNearData(step)
      if (choice.delayed > 0) {
        choice.delayed--
        return DELAYED
      }
    }
    return elsewhere ?? anywhere.choose(task)
  }

  // A worker on which the task has failed is the last choice, also near the data.
  #chooseNear (task: TaskRecord, { shared, delayed }: StepChoice, anywhere: StepCandidates): WorkerRecord | undefined {
    const { shape: { isOneRack, dataRack } } = task.step
    if (isOneRack ? shared === undefined || shared === 'none' : delayed !== undefined && task.failedOn.size === 0) return undefined
    const rack = isOneRack ? shared as Rack : this.#racks.ofData(dataRack)
    const worker = this.#chooseFrom(task, rack.workers, anywhere)
    return worker === undefined || task.failedOn.has(worker) ? undefined : worker
  }

  // Several steps that wait by choice need only one search of all workers, as nothing is placed in between.
  #isKnownToFit ({ step, failedOn }: TaskRecord): boolean {
    return this.#fitting !== undefined && failedOn.size === 0 && needsNoMore(step, this.#fitting)
  }

  #chooseFrom (task: TaskRecord, workers: readonly WorkerRecord[], { isPacked }: StepCandidates): WorkerRecord | undefined {
    const { held, interference, now } = this.#context
    return chooseWorker(task, workers, held, interference, now, isPacked)
  }

  #planNearData (step: StepRecord): number {
    const rack = this.#racks.ofData(step.shape.dataRack)
    const inputs = this.#inputsOf(step, rack)
    const longestWaitMs = this.#context.delays.policy.longestWaitMs(inputs)
    const plan = this.#forecast.plan(step, longestWaitMs > 0 ? step.waiting.size : 0, rack.workers, longestWaitMs)
    this.#forecast.commit(plan)
    this.#record(step, rack, plan, { delayed: plan.startsMs.length, away: step.waiting.size - plan.startsMs.length }, inputs, longestWaitMs)
    return plan.startsMs.length
  }

  // Once tasks of the step are in several racks, all of them are slow, and a further one gains nothing by waiting.
  #planSharedRack (choice: StepChoice): Rack | undefined {
    const { step } = choice
    const { delays } = this.#context
    const used = usedRacks(step)
    if (used.size > 1 || delays.hasStartedAway(step)) return undefined
    const inputs = this.#inputsOf(step)
    const longestWaitMs = delays.policy.longestWaitMs(inputs)
    const [usedKey] = used
    const usedRack = usedKey === undefined ? undefined : this.#racks.of(usedKey)
    if (usedKey !== undefined && usedRack === undefined) return undefined
    const racks = usedRack === undefined ? this.#racks.byFreeProcessors().slice(0, MAX_PLANNED_RACKS) : [usedRack]
    const offer = this.#soonest(step, racks, longestWaitMs, inputs)
    if (offer === undefined) {
      this.#record(step, combine(racks), undefined, { delayed: 0, away: step.waiting.size }, inputs, longestWaitMs)
      return undefined
    }
    this.#forecast.commit(offer.plan)
    const delayed = offer.plan.startsMs.filter(startMs => startMs > 0).length
    choice.waits = delayed > 0
    if (delayed > 0) this.#record(step, offer.rack, offer.plan, { delayed, away: 0 }, inputs, longestWaitMs)
    return offer.rack
  }

  // Racks with more free processors come first, so that steps of one job spread like tasks do.
  #soonest (step: StepRecord, racks: readonly Rack[], longestWaitMs: number, { addedMs }: WaitInputs): RackOffer | undefined {
    let best: RackOffer | undefined
    for (const rack of racks) {
      const [first] = rack.workers
      const awayMs = first !== undefined && isNearData(step, first) ? 0 : addedMs
      // All tasks must start within what the best rack so far costs.
      const plan = this.#forecast.plan(step, step.waiting.size, rack.workers, Math.min(longestWaitMs, (best?.costMs ?? Infinity) - awayMs))
      const lastMs = plan.startsMs.at(-1)
      if (lastMs === undefined || plan.startsMs.length < step.waiting.size) continue
      const costMs = lastMs + awayMs
      if (costMs < (best?.costMs ?? Infinity)) best = { rack, plan, costMs }
      if (costMs === 0) break
    }
    return best
  }

  #inputsOf (step: StepRecord, rack?: Rack): WaitInputs {
    const { delays, now, wallTime } = this.#context
    const { job, occurrence, number } = step
    return {
      addedMs: (delays.remoteFactor - 1) * expectedRunMs(step),
      slackMs: job.objectiveAt(occurrence) - wallTime - job.remainingMs(number),
      waitedMs: delays.waitedMs(step, now),
      freeShare: this.#racks.freeShare,
      demand: rack === undefined ? undefined : delays.demand.ratio(rack.key, processorsOf(rack), now)
    }
  }

  #record (step: StepRecord, rack: Rack, plan: RackPlan | undefined, tasks: Pick<DelayDecision, 'delayed' | 'away'>, inputs: WaitInputs, longestWaitMs: number): void {
    const { delays, now } = this.#context
    delays.record({ step, rack: rack.key, workers: rack.workers.length, ...tasks, longestWaitMs, expectedWaitMs: plan?.startsMs.at(-1) ?? 0, ...inputs }, now)
  }
}

// For records about several racks.
const combine = (racks: readonly Rack[]): Rack => ({ key: racks.map(({ key }) => key).join(' '), workers: racks.flatMap(({ workers }) => workers) })

const processorsOf = ({ workers }: Rack): number => workers.reduce((sum, { entry, lasting }) => sum + entry.processors - lasting.processors, 0)

// Whether each worker on which a task of the other step fits holds one of this step as well.
const needsNoMore = ({ shape, job }: StepRecord, { shape: other, job: otherJob }: StepRecord): boolean => {
  if (job.job.policy.service !== otherJob.job.policy.service || job.job.policy.priority !== otherJob.job.policy.priority) return false
  if (shape.isFiller || other.isFiller || shape.requiredLabel !== other.requiredLabel || shape.maxPerWorker > 0) return false
  return shape.processors <= other.processors && shape.memoryMb <= other.memoryMb && shape.accelerators <= other.accelerators
}

const usedRacks = ({ tasks }: StepRecord): ReadonlySet<string> => {
  const racks = new Set<string>()
  for (const { runs } of tasks) for (const { worker } of runs) racks.add(rackKey(worker.entry))
  return racks
}
