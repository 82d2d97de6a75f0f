/**
 * Waves and bursts of urgent short jobs beside long-running jobs that would fill every worker.
 */
import { brand, SeededRandom, type JobId } from '@auburnpin/common'
import { stepOf } from '@auburnpin/fakes'
import { SchedulerScenario } from './SchedulerScenario.ts'

const WAVE_MS = 11_000
const WORKER_CORES = 64
const TASKS_PER_LONG_RUNNING_JOB = 14

export type WaveSettings = Readonly<{ seed: number, maxReservedShare?: number, workerCount?: number, urgentPerSecond?: number, longRunningPerSecond?: number }>

/** Jobs of the urgent load by how they ended, and tasks of the long-running jobs that were submitted and that started. */
export type WaveResult = Readonly<{ inTime: number, late: number, useless: number, longRunning: number, longRunningStarted: number }>

/**
 * A load like that of the second installation of design 090, for 49 of its 245 workers by default: urgent tasks of 2.4 to
 * 19 cores that run for 0.3 to 1.4 s with estimates that are off by up to 50 %, in waves of 11 s with bursts of 3 to 7 s,
 * beside long-running tasks of 4 to 22 cores that stay for 70 s on average and have 80 % of all processors at first.
 */
export class WaveLoad {
  readonly scenario: SchedulerScenario
  readonly #rates: Readonly<{ urgent: number, longRunning: number }>
  readonly #random: SeededRandom
  readonly #urgent = new Map<JobId, number | undefined>()
  readonly #cancelAt = new Map<string, number>()
  #longRunningJobs = 0
  #burst = { until: 0, factor: 1 }

  constructor ({ seed, maxReservedShare, workerCount = 49, urgentPerSecond = 4, longRunningPerSecond = 0.3 }: WaveSettings) {
    this.#rates = { urgent: urgentPerSecond, longRunning: longRunningPerSecond }
    this.#random = new SeededRandom(seed)
    const workers = Object.fromEntries(Array.from({ length: workerCount }, (_, index) => [`w${String(index).padStart(3, '0')}`, WORKER_CORES * 1_000]))
    this.scenario = new SchedulerScenario(workers, { memoryMb: 250_000 }, maxReservedShare)
    for (let cores = 0; cores < 0.8 * workerCount * WORKER_CORES;) cores += this.#submitLongRunning()
    this.scenario.advance(500)
  }

  /** Plays the load for some time; `onPass` runs before each scheduling pass. */
  run (ms: number, onPass: (load: WaveLoad) => void = () => {}): this {
    this.scenario.advance(ms, now => {
      onPass(this)
      for (const [id, endedAt] of this.#urgent) if (endedAt === undefined && this.scenario.scheduler.jobs.get(id)?.phase === 'completed') this.#urgent.set(id, now)
      for (const [id, at] of this.#cancelAt) {
        if (at > now) continue
        this.scenario.cancel(id)
        this.#cancelAt.set(id, Infinity)
      }
      if (now > this.#burst.until && this.#random.fraction() < 0.01) this.#burst = { until: now + 3_000 + this.#random.below(4_000), factor: 1.6 + this.#random.fraction() }
      const rate = this.#rates.urgent * (1 + 0.5 * Math.sin(2 * Math.PI * now / WAVE_MS)) * (now < this.#burst.until ? this.#burst.factor : 1)
      for (let left = rate / 10; this.#random.fraction() < left; left--) this.#submitUrgent()
      if (this.#random.fraction() < this.#rates.longRunning / 10) this.#submitLongRunning()
    })
    return this
  }

  get added (): number {
    return this.scenario.scheduler.reserve.last.added.size
  }

  /** Urgent jobs that have neither ended nor missed their objective aren't counted. */
  get result (): WaveResult {
    const result = { inTime: 0, late: 0, useless: 0, longRunning: this.#longRunningJobs * TASKS_PER_LONG_RUNNING_JOB, longRunningStarted: 0 }
    for (const [id, endedAt] of this.#urgent) {
      const job = this.scenario.scheduler.jobs.get(id)
      if (job === undefined || (endedAt === undefined && this.scenario.now <= job.objectiveAt(0))) continue
      const at = endedAt ?? Infinity
      if (at <= job.objectiveAt(0)) result.inTime++
      else if (at <= job.uselessAfter(0)) result.late++
      else result.useless++
    }
    for (const id of this.#cancelAt.keys()) result.longRunningStarted += this.scenario.startsOf(id)
    return result
  }

  #submitUrgent (): void {
    const runMs = 850 * (0.4 + 1.2 * this.#random.fraction())
    const processors = Math.round(8_100 * (0.3 + this.#random.fraction() ** 2 * 2.1))
    const step = { taskCount: 10, processors, estimateMs: Math.round(runMs * (0.5 + this.#random.fraction())), memoryMb: 500 }
    const id = `a${this.#urgent.size.toString(16).padStart(15, '0')}`
    this.#urgent.set(brand<JobId>(id), undefined)
    this.scenario.submit(id, this.#random.fraction() < 0.6 ? [stepOf(step), stepOf({ ...step, after: [0] })] : [stepOf(step)], { runMs })
  }

  // Returns the cores of the job's tasks.
  #submitLongRunning (): number {
    const processors = 4_000 + this.#random.below(18_000)
    const id = `b${(this.#longRunningJobs++).toString(16).padStart(15, '0')}`
    this.scenario.submit(id, [stepOf({ taskCount: TASKS_PER_LONG_RUNNING_JOB, processors, isLasting: true, latencyTargetMs: 150, image: `i${this.#random.below(4)}`, memoryMb: 2_000 })])
    this.#cancelAt.set(id, this.scenario.now - Math.log(1 - this.#random.fraction()) * 70_000)
    return TASKS_PER_LONG_RUNNING_JOB * processors / 1_000
  }
}
