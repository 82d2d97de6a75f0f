/**
 * How much fillers disturb serving tasks, by what both run.
 */
import { brand, type Instant, type ServiceName } from '@auburnpin/common'
import { LearntInterference, type LearntEstimates } from '../interference/LearntInterference.ts'
import type { Neighbour } from '../interference/InterferenceModel.ts'
import { BENIGN_SHARE, EMPTY_TAIL_SHARE, FIRST_EMPTY_TAIL_SHARE, PACE_SETTLE_MS, PLACING_AHEAD_MS } from './constants.ts'
import type { StepRecord } from './StepRecord.ts'
import type { RunRecord } from './TaskRecord.ts'
import type { JobStep } from './types.ts'

/** What an owner has learnt, for the next one. */
export type LearntDisturbance = Readonly<{ estimates: LearntEstimates, shortest: Readonly<Record<string, number>> }>

/** What fillers add doesn't depend on the load, so one estimate stands for all loads. */
const ANY_LOAD = 0
const NO_BANDS: readonly number[] = []
const MILLI = 1_000

/** Progress of a lasting task that is at work, in percent. */
const AT_WORK = 100

/**
 * Learns from each report. A tail grows without bound as a server nears its capacity, so what is learnt and
 * compared is the server's *pressure*: how busy it must be to show such a tail, as a share of how busy it
 * may be at its target. 1 is just on target. The load's part of it is known from the same step's tasks elsewhere;
 * what several fillers add to it adds up.
 *
 * @example
 * disturbance.learn(worker.runs.values(), now)
 * const added = disturbance.harmOf(filler, worker.runs.values())
 */
export class Disturbance {
  readonly #model = new LearntInterference(NO_BANDS)
  /** For each serving image the shortest tail seen, as a share of its target. */
  readonly #shortest = new Map<string, number>()

  /** What has been learnt so far. */
  get learnt (): LearntDisturbance {
    return { estimates: this.#model.estimates, shortest: Object.fromEntries(this.#shortest) }
  }

  /** Goes on from what an earlier owner has learnt. */
  restore ({ estimates, shortest }: LearntDisturbance, now: Instant): void {
    this.#model.restore(estimates, now)
    for (const [image, share] of Object.entries(shortest)) this.#shortest.set(image, share)
  }

  /** Takes in the readings of one worker's runs. */
  learn (runs: Iterable<RunRecord>, now: Instant): void {
    const serving: RunRecord[] = []
    const neighbours: Neighbour[] = []
    for (const run of runs) {
      const { shape } = run.task.step
      if (run.reading === undefined) continue
      if (shape.isFiller) neighbours.push({ kind: shape.image, cores: run.reading / MILLI })
      else if (shape.latencyTargetMs > 0 && run.reading > 0 && run.progressPercent === AT_WORK) serving.push(run)
    }
    const isAlone = neighbours.every(({ cores }) => cores === 0)
    for (const { task, tail, reading = 0 } of serving) {
      tail.read(this.#pressureOf(task.step.shape, reading / task.step.shape.latencyTargetMs), now)
      task.step.load.note(task, tail.own, isAlone, now)
    }
    for (const [image, ofImage] of groupByImage(serving)) this.#learnOf(image, ofImage, neighbours, isAlone, now)
  }

  #learnOf (image: string, runs: readonly RunRecord[], neighbours: readonly Neighbour[], isAlone: boolean, now: Instant): void {
    const disturbance = isAlone ? 0 : shownBy(runs, now)
    for (const { task, tail } of runs) tail.judge(task.step.load.pressureAt(now), disturbance, now)
    const observation = { service: brand<ServiceName>(image), load: ANY_LOAD, ratio: runs[0]?.tail.own ?? 0, neighbours, measuredAt: now }
    if (isAlone || disturbance === undefined) this.#model.learn(observation)
    else this.#model.learnAdded(observation, disturbance)
  }

  // A server that is busy for the share b of its time has a tail of 1 / (1 - b) times its tail when it is idle.
  #pressureOf ({ image }: JobStep, tailShare: number): number {
    const shortest = Math.min(tailShare, this.#shortest.get(image) ?? FIRST_EMPTY_TAIL_SHARE)
    this.#shortest.set(image, shortest)
    const idle = shortest * EMPTY_TAIL_SHARE
    return Math.max(0, 1 - idle / tailShare) / (1 - idle)
  }

  /** The share of its processors that a serving step's load is about to keep busy; `undefined` while it isn't known. */
  busyShare ({ shape, load }: StepRecord, now: Instant): number | undefined {
    const pressure = load.expectAt(now, PACE_SETTLE_MS)
    if (pressure === undefined) return undefined
    const idle = (this.#shortest.get(shape.image) ?? FIRST_EMPTY_TAIL_SHARE) * EMPTY_TAIL_SHARE
    return Math.min(1, pressure * (1 - idle))
  }

  /** What a filler adds, with all processors that it asks for, to the pressure on the serving task that it disturbs most. */
  harmOf (filler: JobStep, serving: Iterable<RunRecord>): number {
    let worst = 0
    for (const { task: { step: { shape } } } of serving) {
      if (shape.latencyTargetMs > 0) worst = Math.max(worst, this.#added(shape, filler))
    }
    return worst
  }

  /** The pressure to be expected soon on the serving task that fares worst of those that one more filler disturbs. */
  expectBeside (filler: JobStep, runs: Iterable<RunRecord>, now: Instant): number {
    const all = [...runs]
    let worst = 0
    const seen = new Set<StepRecord>()
    for (const run of all) {
      const { step } = run.task
      if (step.shape.latencyTargetMs === 0 || seen.has(step)) continue
      seen.add(step)
      const added = this.#added(step.shape, filler)
      if (added >= BENIGN_SHARE) worst = Math.max(worst, added + this.#expectOf(run, all, now))
    }
    return worst
  }

  // Fillers whose effect the readings don't show yet count as learnt.
  #expectOf ({ task: { step: { shape, load } }, tail: { disturbance } }: RunRecord, all: readonly RunRecord[], now: Instant): number {
    let pressure = (load.expectAt(now, PLACING_AHEAD_MS) ?? this.#model.baseRatio(brand<ServiceName>(shape.image), ANY_LOAD)) + (disturbance ?? 0)
    for (const { task: { step: { shape: other } }, pacePercent, reading = 0 } of all) {
      const isShown = disturbance !== undefined && reading > 0
      if (other.isFiller && pacePercent > 0 && !isShown) pressure += this.#added(shape, other)
    }
    return pressure
  }

  #added (serving: JobStep, filler: JobStep): number {
    return this.#model.ratioPerCore(brand<ServiceName>(serving.image), filler.image, ANY_LOAD) * filler.processors / MILLI
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

// Fillers disturb all tasks of an image on a worker alike, so the middle one tells by how much.
const shownBy = (runs: readonly RunRecord[], now: Instant): number | undefined => {
  const excesses: number[] = []
  for (const { task, tail } of runs) {
    const load = task.step.load.pressureAt(now)
    if (load !== undefined) excesses.push(Math.max(0, tail.own - load))
  }
  excesses.sort((one, other) => one - other)
  return excesses[Math.floor(excesses.length / 2)]
}
