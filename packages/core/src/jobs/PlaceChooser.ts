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
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import { taskWork } from './taskWork.ts'
import type { WaitInputs } from './waitForPlace.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Choice for a task that goes on waiting for a rack although it could start elsewhere. */
export const DELAYED = 'delayed'

/** What was found for the tasks of the step that was looked at last. */
type StepChoice = {
  readonly step: StepRecord
  /** Where the next task would start if no rack were preferred; absent once a task has started. */
  elsewhere?: WorkerRecord
  /** Number of tasks that go on waiting for the rack with the data; absent until one doesn't fit there. */
  delayed?: number
  /** The rack that the tasks share; none if they start anywhere. Absent until it is chosen. */
  shared?: Rack | 'none'
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
 * const worker = places.choose(task, workers)
 * if (worker === DELAYED) continue
 */
export class PlaceChooser {
  readonly #context: PlacingContext
  readonly #racks: RackIndex
  readonly #forecast: RackForecast
  #choice: StepChoice | undefined

  /** `workers`: those that accept work now. */
  constructor (workers: readonly WorkerRecord[], context: PlacingContext) {
    this.#context = context
    this.#racks = new RackIndex(workers)
    this.#forecast = new RackForecast(context)
    context.delays.startPass(context.now)
  }

  /** The worker for a task among those that it may use; `undefined` if it fits nowhere. */
  choose (task: TaskRecord, workers: readonly WorkerRecord[]): WorkerRecord | typeof DELAYED | undefined {
    if (!this.#context.delays.appliesTo(task)) return this.#chooseFrom(task, workers)
    const { step } = task
    if (this.#choice?.step !== step) this.#choice = { step }
    const choice = this.#choice
    // Tasks of a step differ only in the workers on which they have failed.
    if (choice.elsewhere === undefined || task.failedOn.size > 0) choice.elsewhere = this.#chooseFrom(task, workers)
    if (choice.elsewhere === undefined) return undefined
    const worker = step.shape.isOneRack ? this.#chooseInSharedRack(task, choice, choice.elsewhere) : this.#chooseNearData(choice, choice.elsewhere)
    if (worker === DELAYED) return worker
    choice.elsewhere = undefined
    const { dataRack } = step.shape
    if (dataRack !== '') this.#context.delays.demand.record(dataRack, taskWork(step.shape), this.#context.now)
    return worker
  }

  #chooseFrom (task: TaskRecord, workers: readonly WorkerRecord[]): WorkerRecord | undefined {
    const { held, interference, now } = this.#context
    return chooseWorker(task, workers, held, interference, now)
  }

  // The workers near the data have the highest scores, so `best` is one of them if the task fits there.
  #chooseNearData (choice: StepChoice, best: WorkerRecord): WorkerRecord | typeof DELAYED {
    const { step } = choice
    if (isNearData(step, best)) return best
    choice.delayed ??= this.#planNearData(step)
    if (choice.delayed <= 0) return best
    choice.delayed--
    return DELAYED
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

  #chooseInSharedRack (task: TaskRecord, choice: StepChoice, best: WorkerRecord): WorkerRecord | typeof DELAYED {
    choice.shared ??= this.#planSharedRack(choice.step) ?? 'none'
    if (choice.shared === 'none') return best
    return this.#chooseFrom(task, choice.shared.workers) ?? DELAYED
  }

  // Once tasks of the step are in several racks, all of them are slow, and a further one gains nothing by waiting.
  #planSharedRack (step: StepRecord): Rack | undefined {
    const { delays } = this.#context
    const used = usedRacks(step)
    if (used.size > 1 || delays.hasStartedAway(step)) return undefined
    const inputs = this.#inputsOf(step)
    const longestWaitMs = delays.policy.longestWaitMs(inputs)
    const [usedKey] = used
    const usedRack = usedKey === undefined ? undefined : this.#racks.of(usedKey)
    const racks = usedRack === undefined ? this.#racks.byFreeProcessors() : [usedRack]
    const offer = this.#soonest(step, racks, longestWaitMs, inputs)
    if (offer === undefined) {
      this.#record(step, racks.length === 1 ? racks[0] : undefined, undefined, { delayed: 0, away: step.waiting.size }, inputs, longestWaitMs)
      return undefined
    }
    this.#forecast.commit(offer.plan)
    const delayed = offer.plan.startsMs.filter(startMs => startMs > 0).length
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

  #record (step: StepRecord, rack: Rack | undefined, plan: RackPlan | undefined, tasks: Pick<DelayDecision, 'delayed' | 'away'>, inputs: WaitInputs, longestWaitMs: number): void {
    const { delays, now } = this.#context
    delays.record({ step, rack: rack?.key ?? '', workers: rack?.workers.length ?? 0, ...tasks, longestWaitMs, expectedWaitMs: plan?.startsMs.at(-1) ?? 0, ...inputs }, now)
  }
}

const processorsOf = ({ workers }: Rack): number => workers.reduce((sum, { entry, lasting }) => sum + entry.processors - lasting.processors, 0)

const usedRacks = ({ tasks }: StepRecord): ReadonlySet<string> => {
  const racks = new Set<string>()
  for (const { runs } of tasks) for (const { worker } of runs) racks.add(rackKey(worker.entry))
  return racks
}
