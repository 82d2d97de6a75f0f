/**
 * Forecast of how long a job that is accepted now waits before its tasks start.
 */
import type { Instant, QueueName } from '@auburnpin/common'
import { competesForProcessors } from './competesForProcessors.ts'
import { FORECAST_INTERVAL_MS, MAX_FORECAST_AGE_MS, MAX_FORECAST_QUEUES } from './constants.ts'
import type { DelayScheduling } from './DelayScheduling.ts'
import { DrainRate } from './DrainRate.ts'
import type { SizeFairness } from './SizeFairness.ts'
import type { StepRecord } from './StepRecord.ts'
import { summariseServices } from './summariseServices.ts'
import { taskWork } from './taskWork.ts'
import { timelinessOf, USELESS } from './timeliness.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { JobStep, QueuePolicy } from './types.ts'
import type { WorkerRecord } from './WorkerRecord.ts'
import { workRank } from './workRank.ts'

/** The forecast of one queue. Sizes are in core-milliseconds by estimate, waits in milliseconds. */
export type QueueWait = Readonly<{
  /** Upper bounds of the sizes of all bands but the last; see `SizeFairness`. */
  sizes: readonly number[]
  /** For each band: the wait of a job accepted now. */
  waits: readonly number[]
}>

/** The forecast of a cell for the queues whose jobs would wait; a job of any other queue starts at once. */
export type CellWaits = Readonly<Record<string, QueueWait>>

/** Thousandths of a core in one core, so that sizes are published as short numbers. */
const MILLICORES = 1_000

/** A queue whose jobs have tasks of several kinds waits for a kind that makes up at least this share of its work. */
const MIN_KIND_SHARE = 0.1

/** Milliseconds over which the weight of work in the mix of a queue falls to 37 %. */
const MIX_MEMORY_MS = 20_000

type QueueMix = { policy: QueuePolicy, seenAt: Instant, readonly work: Map<string, number> }

/**
 * Forecasts the waits of the jobs of a cell, for queues of small urgent jobs beside large ones of lower priority that
 * together bring up to three times the work that the workers can do. Work of each kind (service; fillers or others)
 * is started in the order of `orderSteps`, so a job waits until the work before it is started, at the measured rate,
 * less what keeps arriving before it. Long-running tasks are left out: they don't end, and what they reserve shows in
 * the measured rate. A forecast costs one walk over the open steps every `FORECAST_INTERVAL_MS`.
 *
 * @example
 * forecast.startTask(task, now)
 * forecast.observe(openSteps, workers, fairness, now, wallTime)
 * forecast.published(now)?.drafts?.waits // [0, 120, 900, 4_200]
 */
export class WaitForecast {
  readonly #rates = new Map<string, DrainRate>()
  readonly #queues = new Map<QueueName, QueueMix>()
  #observedAt: Instant | undefined
  #waits: CellWaits | undefined

  /** Records that a task is about to be started. */
  startTask ({ step }: TaskRecord, now: Instant): void {
    if (step.shape.isLasting) return
    const work = taskWork(step.shape)
    this.#rateOf(kindKey(step)).recordStart(rankOf(step, false), work)
    this.#recordMix(step, work, now)
  }

  /** Updates the forecast after a scheduling pass, unless it is recent; `steps` are all open ones. */
  observe (steps: Iterable<StepRecord>, delays: DelayScheduling, workers: Iterable<WorkerRecord>, fairness: SizeFairness, now: Instant, wallTime: number): void {
    const elapsedMs = this.#observedAt === undefined ? 0 : now - this.#observedAt
    if (this.#observedAt !== undefined && elapsedMs < FORECAST_INTERVAL_MS) return
    this.#observedAt = now
    const listed = [...workers]
    const backlogs = new Map<string, Map<number, number>>()
    for (const step of steps) {
      if (step.waiting.size === 0 || step.shape.isLasting || timelinessOf(step, wallTime) === USELESS) continue
      if (!competesForProcessors(step, delays, listed)) continue
      const work = step.waiting.size * taskWork(step.shape)
      const kind = kindKey(step)
      const backlog = backlogs.get(kind) ?? new Map<number, number>()
      const rank = rankOf(step, fairness.isPromoted(step))
      backlog.set(rank, (backlog.get(rank) ?? 0) + work)
      backlogs.set(kind, backlog)
      this.#rateOf(kind)
      this.#recordMix(step, 0, now)
    }
    const services = summariseServices(listed, now)
    for (const [kind, rate] of this.#rates) {
      const service = services.get(serviceOf(kind))
      rate.observe(backlogs.get(kind) ?? new Map<number, number>(), service?.processors ?? 0, service?.hasIdleWorker ?? false, elapsedMs)
    }
    this.#waits = this.#forecast(fairness)
    this.#fadeMixes(elapsedMs, now)
  }

  /** The forecast; `undefined` if there is none yet, it is outdated or no job would wait. */
  published (now: Instant): CellWaits | undefined {
    return this.#observedAt === undefined || now - this.#observedAt > MAX_FORECAST_AGE_MS ? undefined : this.#waits
  }

  #forecast (fairness: SizeFairness): CellWaits | undefined {
    const waits: [string, QueueWait][] = []
    for (const [queue, { policy, work }] of this.#queues) {
      const sizes = fairness.bandsOf(queue)
      const total = [...work.values()].reduce((sum, one) => sum + one, 0)
      const rates = [...this.#rates].filter(([kind]) => total > 0 ? (work.get(kind) ?? 0) >= MIN_KIND_SHARE * total : work.has(kind)).map(([, rate]) => rate)
      if (sizes === undefined || rates.length === 0) continue
      const ofBands = sizes.typical.map(size => Math.round(Math.max(...rates.map(rate => rate.waitMs(workRank(policy.priority, size))))))
      if (ofBands.some(waitMs => waitMs > 0)) waits.push([queue, { sizes: sizes.bounds.map(size => Math.round(size / MILLICORES)), waits: ofBands }])
    }
    if (waits.length === 0) return undefined
    // The queues with the longest waits matter most.
    return Object.fromEntries(waits.sort(([, one], [, other]) => Math.max(...other.waits) - Math.max(...one.waits)).slice(0, MAX_FORECAST_QUEUES))
  }

  #rateOf (kind: string): DrainRate {
    const rate = this.#rates.get(kind) ?? new DrainRate()
    this.#rates.set(kind, rate)
    return rate
  }

  #recordMix (step: StepRecord, work: number, now: Instant): void {
    const { job: { job: { queue, policy } } } = step
    const mix: QueueMix = this.#queues.get(queue) ?? { policy, seenAt: now, work: new Map() }
    mix.policy = policy
    mix.seenAt = now
    const kind = kindKey(step)
    mix.work.set(kind, (mix.work.get(kind) ?? 0) + work)
    this.#queues.set(queue, mix)
  }

  #fadeMixes (elapsedMs: number, now: Instant): void {
    const factor = Math.exp(-elapsedMs / MIX_MEMORY_MS)
    for (const [queue, { seenAt, work }] of this.#queues) {
      for (const [kind, amount] of work) work.set(kind, amount * factor)
      if (now - seenAt > 3 * MIX_MEMORY_MS) this.#queues.delete(queue)
    }
  }
}

const FILLER_PREFIX = 'f:'
const BATCH_PREFIX = 'b:'

// Fillers use what other tasks leave unused, so the two kinds don't wait for each other.
const kindKey = ({ shape, job: { job: { policy: { service } } } }: StepRecord): string => `${prefixOf(shape)}${service}`

const prefixOf = ({ isFiller }: JobStep): string => isFiller ? FILLER_PREFIX : BATCH_PREFIX

const serviceOf = (kind: string): string => kind.slice(FILLER_PREFIX.length)

const rankOf = ({ job, occurrence }: StepRecord, isPromoted: boolean): number =>
  workRank(job.job.policy.priority, isPromoted ? 0 : job.remainingWork(occurrence))
