/**
 * Logs which tasks wait for workers, and why.
 */
import type { CellId, Instant } from '@auburnpin/common'
import { awaitedWorkers, findObstacles, STEP_KINDS, type CellWaits, type Interruption, type JobScheduler, type StepKind, type StepWait, type WorkerRecord } from '@auburnpin/core'
import type { OwnerLoad } from './OwnerLoad.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { BacklogReporter } from './BacklogReporter.ts'
import { obstacleFields } from './obstacleFields.ts'
import { ReserveReporter } from './ReserveReporter.ts'
import { MAX_REPORTED_INTERRUPTIONS, MAX_REPORTED_WAITS, MIN_REPORTED_INTERRUPTION_MS, MIN_REPORTED_WAIT_MS, WAIT_REPORT_INTERVAL_MS } from './constants.ts'

const MS_PER_SECOND = 1_000
/** Most workers named in one record; the count says how many there are. */
const MAX_NAMED_WORKERS = 5

/**
 * Periodically writes one record for each of the longest waits of each kind of task, and for each long-running task
 * that has been interrupted for long, and updates the gauges of waiting tasks.
 *
 * @example
 * const reporter = new WaitReporter(ports, scheduler, cell)
 * void reporter.run()
 * reporter.stop()
 */
export class WaitReporter {
  readonly #ports: OwnerPorts
  readonly #scheduler: JobScheduler
  readonly #load: OwnerLoad
  readonly #backlogReporter: BacklogReporter
  readonly #reserveReporter: ReserveReporter
  readonly #cell: CellId
  #isStopped = false
  #forecastQueues: readonly string[] = []

  constructor (ports: OwnerPorts, scheduler: JobScheduler, cell: CellId, load: OwnerLoad) {
    this.#cell = cell
    this.#load = load
    this.#ports = ports
    this.#scheduler = scheduler
    this.#backlogReporter = new BacklogReporter(ports, scheduler, cell)
    this.#reserveReporter = new ReserveReporter(ports, scheduler)
  }

  async run (): Promise<void> {
    while (!this.#isStopped) {
      await this.#ports.clock.sleep(WAIT_REPORT_INTERVAL_MS)
      if (!this.#isStopped) this.#report()
    }
  }

  stop (): void {
    this.#isStopped = true
    for (const kind of STEP_KINDS) this.#gauge(kind, 0, 0)
    this.#gaugeInterruptions(0, 0)
    this.#load.stop()
    this.#backlogReporter.stop()
    this.#reserveReporter.stop()
    this.#ports.metrics.gauge('durations.learnt', 0)
    this.#ports.metrics.gauge('tasks.delayed', 0)
    this.#reportForecast(undefined)
  }

  #report (): void {
    const now = this.#ports.clock.now()
    const { waits, held, interference, reserve, durations } = this.#scheduler
    this.#load.report()
    this.#backlogReporter.report(now)
    this.#reserveReporter.report(now)
    this.#ports.metrics.gauge('durations.learnt', durations.learntCount)
    for (const [kind, { tasks, longestMs }] of waits.totals(now)) this.#gauge(kind, tasks, longestMs)
    this.#ports.metrics.gauge('tasks.delayed', this.#scheduler.delays.delayedTasks)
    this.#reportForecast(this.#scheduler.forecast?.published(now).waits)
    const workers = [...this.#scheduler.workers.values()]
    for (const kind of STEP_KINDS) {
      for (const wait of waits.longest(kind, MAX_REPORTED_WAITS, MIN_REPORTED_WAIT_MS, workers, held, interference, now, reserve.last.added)) this.#write(wait)
    }
    const interruptions = this.#scheduler.interruptedTasks(MIN_REPORTED_INTERRUPTION_MS, now)
    this.#gaugeInterruptions(interruptions.length, interruptions[0]?.interruptedMs ?? 0)
    for (const interruption of interruptions.slice(0, MAX_REPORTED_INTERRUPTIONS)) this.#writeInterruption(interruption, workers, now)
  }

  #reportForecast (forecast: CellWaits | undefined): void {
    const { log, metrics } = this.#ports
    for (const queue of this.#forecastQueues) if (forecast === undefined || !Object.hasOwn(forecast, queue)) metrics.gauge('queue.forecastWait', 0, { cell: this.#cell, queue })
    for (const [queue, { sizes, waits }] of Object.entries(forecast ?? {})) {
      metrics.gauge('queue.forecastWait', Math.max(...waits), { cell: this.#cell, queue })
      log.info('New jobs would wait', { cell: this.#cell, queue, sizes: sizes.join(' '), waitsMs: waits.join(' ') })
    }
    this.#forecastQueues = Object.keys(forecast ?? {})
  }

  #gauge (kind: StepKind, tasks: number, longestMs: number): void {
    this.#ports.metrics.gauge('tasks.waiting', tasks, { kind })
    this.#ports.metrics.gauge('tasks.longestWait', longestMs / MS_PER_SECOND, { kind })
  }

  #gaugeInterruptions (tasks: number, longestMs: number): void {
    this.#ports.metrics.gauge('tasks.interrupted', tasks)
    this.#ports.metrics.gauge('tasks.longestInterruption', longestMs / MS_PER_SECOND)
  }

  #writeInterruption ({ task, interruptedMs }: Interruption, workers: readonly WorkerRecord[], now: Instant): void {
    const { held, interference } = this.#scheduler
    const awaited = awaitedWorkers(this.#scheduler)
    const { shape } = task.step
    const obstacles = findObstacles(task, workers, held, interference, now)
    const { largest } = obstacles
    this.#ports.log.warn('Long-running task is interrupted', {
      task: task.name,
      interruptedMs: Math.round(interruptedMs),
      lastAttempt: task.lastEnd?.attempt,
      lastEnding: task.lastEnd?.ending ?? 'before this term',
      lastWorker: task.lastEnd?.worker,
      processors: shape.processors,
      maxPerWorker: shape.maxPerWorker,
      ...obstacleFields(obstacles),
      largestFreeOn: largest?.entry.id,
      largestObstacle: obstacles.largestObstacle,
      reportAgeMs: largest === undefined ? undefined : Math.round(now - largest.reportRequestedAt),
      awaitedWorkers: awaited.slice(0, MAX_NAMED_WORKERS).map(({ entry }) => entry.id).join(' '),
      awaited: awaited.length
    })
  }

  #write ({ step, kind, waitedMs, obstacles, placedSince }: StepWait): void {
    const { job, shape } = step
    this.#ports.log.info('Tasks wait for a worker', {
      step: `${job.job.id}.${step.key}`,
      kind,
      waiting: step.waiting.size,
      of: shape.taskCount,
      waitedMs: Math.round(waitedMs),
      processors: shape.processors,
      maxPerWorker: shape.maxPerWorker,
      ...obstacleFields(obstacles),
      placedSince: STEP_KINDS.map(placed => `${placed}:${placedSince[placed].tasks}/${placedSince[placed].processors}m`).join(' ')
    })
  }
}
