/**
 * How long the accepted work of a cell takes to start.
 */
import type { Instant } from '@auburnpin/common'
import { competesForProcessors } from './competesForProcessors.ts'
import { BACKLOG_LIMIT_SLACKS, FORECAST_INTERVAL_MS, MAX_FORECAST_AGE_MS, MIN_BACKLOG_LIMIT_MS, MIN_PUBLISHED_BACKLOG_SHARE, SIZE_SAMPLE } from './constants.ts'
import type { DelayScheduling } from './DelayScheduling.ts'
import { DrainRate } from './DrainRate.ts'
import type { JobRecord } from './JobRecord.ts'
import { processorKind } from './processorKind.ts'
import { sizeOfJob } from './sizeOfJob.ts'
import { summariseServices } from './summariseServices.ts'
import type { StepRecord } from './StepRecord.ts'
import { taskWork } from './taskWork.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** The accepted work of one kind that waits and is of a priority or a more urgent one. */
export type PriorityBacklog = Readonly<{
  priority: number
  /** Milliseconds until all of it is started, at the measured rate. */
  drainMs: number
  /** The `drainMs` from which on new jobs are refused; follows from the slack of the jobs, on average over the work. */
  limitMs: number
  /** Geometric mean of the sizes of the jobs that brought it, in core-milliseconds by estimate. */
  typicalSize: number
}>

/** One for each priority with work that waits, the most urgent first. */
export type KindBacklog = readonly PriorityBacklog[]

/** The backlogs of a cell by `processorKind`; a kind that is missing has little or none. */
export type CellBacklog = Readonly<Record<string, KindBacklog>>

type WaitingWork = { readonly jobs: Set<JobRecord>, work: number, slackWork: number }

type WaitingKind = { readonly service: string, readonly priorities: Map<number, WaitingWork> }

/** All work of a kind has the same rank, as each accepted job has to be run. */
const ANY_RANK = 0

/**
 * Measures all accepted work that waits, also of jobs that have missed their objective and of the later steps of jobs that wait.
 * While more work is accepted than can be done, it is this that grows; the wait of a new job doesn't show it, as a job
 * that can meet its objective comes before the others. Costs one walk over the open steps every `FORECAST_INTERVAL_MS`.
 *
 * @example
 * backlog.recordStart(step)
 * backlog.observe(openSteps, delays, workers, now)
 * backlog.published(now)?.['filler desk'] // [{ priority: 1, drainMs: 8_400, limitMs: 6_100, typicalSize: 210_000 }]
 */
export class AcceptedBacklog {
  readonly #rates = new Map<string, DrainRate>()
  readonly #sizes = new Map<string, TypicalSize>()
  #observedAt: Instant | undefined
  #kinds: ReadonlyMap<string, KindBacklog> = new Map()

  /** Records that a task of a step is about to be started. */
  recordStart ({ shape, job: { job: { policy } } }: StepRecord): void {
    if (!shape.isLasting) this.#rateOf(processorKind(shape, policy)).recordStart(ANY_RANK, taskWork(shape))
  }

  /** Measures the backlog after a scheduling pass, unless that was done a short time ago; `steps` are all open ones. */
  observe (steps: Iterable<StepRecord>, delays: DelayScheduling, workers: readonly WorkerRecord[], now: Instant): void {
    const elapsedMs = this.#observedAt === undefined ? 0 : now - this.#observedAt
    if (this.#observedAt !== undefined && elapsedMs < FORECAST_INTERVAL_MS) return
    this.#observedAt = now
    const waiting = sumWaitingWork(steps, delays, workers)
    for (const [kind, { priorities }] of waiting) for (const { jobs } of priorities.values()) this.#sizeOf(kind).addAll(jobs)
    const services = summariseServices(workers, now)
    for (const kind of waiting.keys()) this.#rateOf(kind)
    const kinds = new Map<string, KindBacklog>()
    for (const [kind, rate] of this.#rates) {
      const { service = '', priorities = new Map<number, WaitingWork>() } = waiting.get(kind) ?? {}
      const work = [...priorities.values()].reduce((sum, one) => sum + one.work, 0)
      // What still waits after a pass doesn't fit on an idle worker.
      rate.observe(new Map(work > 0 ? [[ANY_RANK, work]] : []), services.get(service)?.processors ?? 0, false, elapsedMs)
      if (work > 0) kinds.set(kind, backlogsOf(priorities, rate.drainMs / work, this.#sizeOf(kind).size))
    }
    this.#kinds = kinds
  }

  get isMeasured (): boolean {
    return this.#observedAt !== undefined
  }

  /** The backlogs as last measured. */
  get kinds (): ReadonlyMap<string, KindBacklog> {
    return this.#kinds
  }

  /** The backlogs for which jobs may be refused; `undefined` if there are none, or if the last measurement is outdated. */
  published (now: Instant): CellBacklog | undefined {
    if (this.#observedAt === undefined || now - this.#observedAt > MAX_FORECAST_AGE_MS) return undefined
    const kinds = [...this.#kinds].filter(([, backlogs]) => backlogs.some(({ drainMs, limitMs }) => drainMs >= MIN_PUBLISHED_BACKLOG_SHARE * limitMs))
    return kinds.length === 0 ? undefined : Object.fromEntries(kinds)
  }

  #rateOf (kind: string): DrainRate {
    const rate = this.#rates.get(kind) ?? new DrainRate()
    this.#rates.set(kind, rate)
    return rate
  }

  #sizeOf (kind: string): TypicalSize {
    const size = this.#sizes.get(kind) ?? new TypicalSize()
    this.#sizes.set(kind, size)
    return size
  }
}

// What is of a priority also waits for all that is more urgent.
const backlogsOf = (priorities: ReadonlyMap<number, WaitingWork>, drainMsPerWork: number, typicalSize: number): KindBacklog => {
  let work = 0
  let slackWork = 0
  return [...priorities].sort(([one], [other]) => one - other).map(([priority, own]) => {
    work += own.work
    slackWork += own.slackWork
    return { priority, drainMs: Math.round(work * drainMsPerWork), limitMs: Math.round(Math.max(MIN_BACKLOG_LIMIT_MS, BACKLOG_LIMIT_SLACKS * slackWork / work)), typicalSize }
  })
}

/** The size of the jobs that have waited lately. */
class TypicalSize {
  readonly #counted = new WeakSet<JobRecord>()
  #meanLogarithm: number | undefined

  /** Counts each job once. */
  addAll (jobs: Iterable<JobRecord>): void {
    for (const job of jobs) {
      if (this.#counted.has(job)) continue
      this.#counted.add(job)
      const logarithm = Math.log(Math.max(1, sizeOfJob(job)))
      this.#meanLogarithm = this.#meanLogarithm === undefined ? logarithm : this.#meanLogarithm + (logarithm - this.#meanLogarithm) / SIZE_SAMPLE
    }
  }

  get size (): number {
    return Math.round(Math.exp(this.#meanLogarithm ?? 0))
  }
}

const sumWaitingWork = (steps: Iterable<StepRecord>, delays: DelayScheduling, workers: readonly WorkerRecord[]): ReadonlyMap<string, WaitingKind> => {
  const waiting = new Map<string, WaitingKind>()
  const seen = new Set<JobRecord>()
  const add = ({ shape, job }: StepRecord, tasks: number): void => {
    const { policy } = job.job
    const kind = processorKind(shape, policy)
    const ofKind = waiting.get(kind) ?? { service: policy.service, priorities: new Map() }
    waiting.set(kind, ofKind)
    const sum = ofKind.priorities.get(policy.priority) ?? { jobs: new Set(), work: 0, slackWork: 0 }
    ofKind.priorities.set(policy.priority, sum)
    const work = tasks * taskWork(shape)
    sum.jobs.add(job)
    sum.work += work
    sum.slackWork += work * Math.max(0, job.slackMs)
  }
  for (const step of steps) {
    if (step.waiting.size === 0 || step.shape.isLasting || !competesForProcessors(step, delays, workers)) continue
    add(step, step.waiting.size)
    if (seen.has(step.job)) continue
    seen.add(step.job)
    for (const later of step.job.occurrences.get(step.occurrence) ?? []) if (!later.isOpen && !later.shape.isLasting) add(later, later.shape.taskCount)
  }
  return waiting
}
