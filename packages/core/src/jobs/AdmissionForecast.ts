/**
 * What an owner publishes for the admission of new jobs.
 */
import type { Instant } from '@auburnpin/common'
import { AcceptedBacklog, type CellBacklog } from './AcceptedBacklog.ts'
import type { DelayScheduling } from './DelayScheduling.ts'
import type { SizeFairness } from './SizeFairness.ts'
import type { StepRecord } from './StepRecord.ts'
import type { TaskRecord } from './TaskRecord.ts'
import type { CellWaits, WaitForecast } from './WaitForecast.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/** Both are absent if no job is to be refused. */
export type PublishedForecast = Readonly<{ waits: CellWaits | undefined, backlog: CellBacklog | undefined }>

/** What an owner publishes that forecasts nothing, whatever the owner before published. */
export const NOTHING_PUBLISHED: PublishedForecast = { waits: undefined, backlog: undefined }

/**
 * The backlog of accepted work, and the waits of new jobs if there is a forecast of these.
 *
 * @example
 * const forecast = new AdmissionForecast(new WaitForecast())
 * forecast.startTask(task, now)
 * forecast.observe(openSteps, delays, workers, fairness, now, wallTime)
 * forecast.published(now).backlog
 */
export class AdmissionForecast {
  readonly backlog = new AcceptedBacklog()
  readonly #waits: WaitForecast | undefined

  constructor (waits?: WaitForecast) {
    this.#waits = waits
  }

  /** Records that a task is about to be started. */
  startTask (task: TaskRecord, now: Instant): void {
    this.backlog.recordStart(task.step)
    this.#waits?.startTask(task, now)
  }

  /** Updates the forecast after a scheduling pass; `steps` are all open ones. */
  observe (steps: Iterable<StepRecord>, delays: DelayScheduling, workers: Iterable<WorkerRecord>, fairness: SizeFairness, now: Instant, wallTime: number): void {
    const listed = [...workers]
    this.backlog.observe(steps, delays, listed, now)
    this.#waits?.observe(steps, delays, listed, fairness, now, wallTime)
  }

  /** What to publish now; until the backlog has been measured in this term, the one that was published `before`. */
  published (now: Instant, before: Partial<PublishedForecast> = {}): PublishedForecast {
    return { waits: this.#waits?.published(now), backlog: this.backlog.isMeasured ? this.backlog.published(now) : before.backlog }
  }
}
