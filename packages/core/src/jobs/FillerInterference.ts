/**
 * Interference of fillers with serving tasks, estimated per pair of images.
 */
import { brand, type Instant, type ServiceName } from '@auburnpin/common'
import { LearntInterference, type LearntEstimates } from '../interference/LearntInterference.ts'
import type { Neighbour } from '../interference/InterferenceModel.ts'
import { DEFAULT_SHORTEST_TAIL_SHARE, IDLE_TAIL_SHARE, MAX_PLACING_PRESSURE, NEGLIGIBLE_ADDED_PRESSURE, PACE_SETTLE_MS, PLACING_HORIZON_MS } from './constants.ts'
import { FillerCapacity, ServingEffects } from './FillerCapacity.ts'
import type { StepRecord } from './StepRecord.ts'
import type { RunRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'

/** Estimates of an owner, stored for the next one. */
export type FillerInterferenceState = Readonly<{ estimates: LearntEstimates, shortest: Readonly<Record<string, number>> }>

/** The pressure that fillers add does not depend on the load, so one estimate covers all loads. */
const ANY_LOAD = 0
const NO_LOAD_BANDS: readonly number[] = []
const MILLICORES_PER_CORE = 1_000

/** Progress reported by a long-running task that is ready, in percent. */
const SERVING_PROGRESS_PERCENT = 100

/**
 * Updates its estimates with each report. Tail latency grows without bound as a server approaches its capacity,
 * so the estimates are of *pressure*: the utilisation at which a server has such a tail, relative to the
 * utilisation at which its tail is on target; 1 is exactly on target. The pressure caused by the load is known
 * from tasks of the same step on other workers; the pressures that several fillers add are summed.
 *
 * @example
 * interference.learn(worker.runs.values(), now)
 * const added = interference.maxAddedPressure(filler, worker.runs.values())
 */
export class FillerInterference extends ServingEffects {
  /** Capacity of workers for fillers, as of the present scheduling pass. */
  readonly capacity = new FillerCapacity(this)
  readonly #model = new LearntInterference(NO_LOAD_BANDS)
  /** For each serving image, the shortest tail observed, as a share of its target. */
  readonly #shortest = new Map<string, number>()

  /** The current estimates, for the next owner. */
  get learnt (): FillerInterferenceState {
    return { estimates: this.#model.estimates, shortest: Object.fromEntries(this.#shortest) }
  }

  /** Continues from the estimates of an earlier owner. */
  restore ({ estimates, shortest }: FillerInterferenceState, now: Instant): void {
    this.#model.restore(estimates, now)
    for (const [image, share] of Object.entries(shortest)) this.#shortest.set(image, share)
  }

  /** Learns from the readings of one worker's runs. */
  learn (runs: Iterable<RunRecord>, now: Instant): void {
    const serving: RunRecord[] = []
    const neighbours: Neighbour[] = []
    for (const run of runs) {
      const { shape } = run.task.step
      if (run.reading === undefined) continue
      if (shape.isFiller) neighbours.push({ kind: shape.image, cores: run.reading / MILLICORES_PER_CORE })
      else if (shape.latencyTargetMs > 0 && run.reading > 0 && run.progressPercent === SERVING_PROGRESS_PERCENT) serving.push(run)
    }
    const isWithoutFillers = neighbours.every(({ cores }) => cores === 0)
    for (const { task, pressure, reading = 0 } of serving) {
      pressure.record(this.#pressureOf(task.step.shape, reading / task.step.shape.latencyTargetMs), now)
      task.step.load.record(task, pressure.latest, isWithoutFillers, now)
    }
    for (const [image, ofImage] of groupByImage(serving)) this.#learnImage(image, ofImage, neighbours, isWithoutFillers, now)
  }

  #learnImage (image: string, runs: readonly RunRecord[], neighbours: readonly Neighbour[], isWithoutFillers: boolean, now: Instant): void {
    const interference = isWithoutFillers ? 0 : medianExcess(runs, now)
    for (const { task, pressure } of runs) pressure.update(task.step.load.pressureAt(now), interference, now)
    const observation = { service: brand<ServiceName>(image), load: ANY_LOAD, ratio: runs[0]?.pressure.latest ?? 0, neighbours, measuredAt: now }
    if (isWithoutFillers || interference === undefined) this.#model.learn(observation)
    else this.#model.learnAddedRatio(observation, interference)
  }

  // At utilisation u, a server's tail latency is 1 / (1 - u) times its tail latency when idle.
  #pressureOf ({ image }: JobStep, tailShare: number): number {
    const shortest = Math.min(tailShare, this.#shortest.get(image) ?? DEFAULT_SHORTEST_TAIL_SHARE)
    this.#shortest.set(image, shortest)
    const idle = shortest * IDLE_TAIL_SHARE
    return Math.max(0, 1 - idle / tailShare) / (1 - idle)
  }

  /** The share of its processors that the load of a serving step is expected to use soon; `undefined` while unknown. */
  expectedUtilisation ({ shape, load }: StepRecord, now: Instant): number | undefined {
    const pressure = load.forecastAt(now, PACE_SETTLE_MS)
    if (pressure === undefined) return undefined
    const idle = (this.#shortest.get(shape.image) ?? DEFAULT_SHORTEST_TAIL_SHARE) * IDLE_TAIL_SHARE
    return Math.min(1, pressure * (1 - idle))
  }

  /** Pressure that a filler, using all its requested processors, adds on the serving task that it affects most. */
  maxAddedPressure (filler: JobStep, serving: Iterable<RunRecord>): number {
    let worst = 0
    for (const { task: { step: { shape } } } of serving) {
      if (shape.latencyTargetMs > 0) worst = Math.max(worst, this.#addedPressure(shape, filler))
    }
    return worst
  }

  /** Highest pressure expected soon on any serving task that one more filler would interfere with. */
  maxExpectedPressure (filler: JobStep, runs: Iterable<RunRecord>, now: Instant): number {
    let worst = 0
    for (const { added, expected } of this.#affected(filler, [...runs], now)) worst = Math.max(worst, added + expected)
    return worst
  }

  /**
   * The largest share of full pace at which one more filler is expected to leave all serving tasks some margin below
   * their target, or adds a negligible pressure; 1 if it interferes with none.
   */
  sustainablePace (filler: JobStep, runs: Iterable<RunRecord>, now: Instant): number {
    let share = 1
    for (const { added, expected } of this.#affected(filler, [...runs], now)) {
      share = Math.min(share, Math.max(NEGLIGIBLE_ADDED_PRESSURE, MAX_PLACING_PRESSURE - expected) / added)
    }
    return share
  }

  // For one task of each serving step that a filler would disturb: the pressure it adds, and that expected without it.
  * #affected (filler: JobStep, runs: readonly RunRecord[], now: Instant): Generator<Readonly<{ added: number, expected: number }>> {
    const seen = new Set<StepRecord>()
    for (const run of runs) {
      const { step } = run.task
      if (step.shape.latencyTargetMs === 0 || seen.has(step)) continue
      seen.add(step)
      const added = this.#addedPressure(step.shape, filler)
      if (added >= NEGLIGIBLE_ADDED_PRESSURE) yield { added, expected: this.#expectedPressureOn(run, runs, now) }
    }
  }

  // Adds the estimate for fillers whose effect is not visible in the readings yet.
  #expectedPressureOn ({ task: { step: { shape, load } }, pressure: { interference } }: RunRecord, all: readonly RunRecord[], now: Instant): number {
    let pressure = (load.forecastAt(now, PLACING_HORIZON_MS) ?? this.#model.baseRatio(brand<ServiceName>(shape.image), ANY_LOAD)) + (interference ?? 0)
    for (const { task: { step: { shape: other } }, pacePercent, reading = 0 } of all) {
      const isMeasured = interference !== undefined && reading > 0
      if (other.isFiller && pacePercent > 0 && !isMeasured) pressure += this.#addedPressure(shape, other)
    }
    return pressure
  }

  #addedPressure (serving: JobStep, filler: JobStep): number {
    return this.#model.ratioPerCore(brand<ServiceName>(serving.image), filler.image, ANY_LOAD) * filler.processors / MILLICORES_PER_CORE
  }
}

const groupByImage = (serving: readonly RunRecord[]): ReadonlyMap<string, RunRecord[]> => {
  const groups = new Map<string, RunRecord[]>()
  for (const run of serving) {
    const { image } = run.task.step.shape
    const group = groups.get(image)
    if (group === undefined) groups.set(image, [run])
    else group.push(run)
  }
  return groups
}

// Fillers affect all tasks of an image on a worker equally, so the median excess over the load's pressure measures it.
const medianExcess = (runs: readonly RunRecord[], now: Instant): number | undefined => {
  const excesses: number[] = []
  for (const { task, pressure } of runs) {
    const load = task.step.load.pressureAt(now)
    if (load !== undefined) excesses.push(Math.max(0, pressure.latest - load))
  }
  excesses.sort((one, other) => one - other)
  return excesses[Math.floor(excesses.length / 2)]
}
