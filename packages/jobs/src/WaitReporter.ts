/**
 * Logs which tasks wait for workers, and why.
 */
import { STEP_KINDS, type JobScheduler, type StepWait, type StepKind } from '@auburnpin/core'
import type { OwnerPorts } from './OwnerPorts.ts'
import { MAX_REPORTED_WAITS, MIN_REPORTED_WAIT_MS, WAIT_REPORT_INTERVAL_MS } from './constants.ts'

const MS_PER_SECOND = 1_000

/**
 * Periodically writes one record for each of the longest waits of each kind of task, and updates the gauges of
 * waiting tasks.
 *
 * @example
 * const reporter = new WaitReporter(ports, scheduler)
 * void reporter.run()
 * reporter.stop()
 */
export class WaitReporter {
  readonly #ports: OwnerPorts
  readonly #scheduler: JobScheduler
  #isStopped = false

  constructor (ports: OwnerPorts, scheduler: JobScheduler) {
    this.#ports = ports
    this.#scheduler = scheduler
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
  }

  #report (): void {
    const now = this.#ports.clock.now()
    const { waits, held, interference } = this.#scheduler
    for (const [kind, { tasks, longestMs }] of waits.totals(now)) this.#gauge(kind, tasks, longestMs)
    const workers = [...this.#scheduler.workers.values()]
    for (const kind of STEP_KINDS) {
      for (const wait of waits.longest(kind, MAX_REPORTED_WAITS, MIN_REPORTED_WAIT_MS, workers, held, interference, now)) this.#write(wait)
    }
  }

  #gauge (kind: StepKind, tasks: number, longestMs: number): void {
    this.#ports.metrics.gauge('tasks.waiting', tasks, { kind })
    this.#ports.metrics.gauge('tasks.longestWait', longestMs / MS_PER_SECOND, { kind })
  }

  #write ({ step, kind, waitedMs, obstacles, free, largestFree, placedSince }: StepWait): void {
    const { job, shape } = step
    this.#ports.log.info('Tasks wait for a worker', {
      step: `${job.job.id}.${step.key}`,
      kind,
      waiting: step.waiting.size,
      of: shape.taskCount,
      waitedMs: Math.round(waitedMs),
      processors: shape.processors,
      maxPerWorker: shape.maxPerWorker,
      obstacles: [...obstacles].map(([obstacle, count]) => `${obstacle}:${count}`).join(' '),
      free,
      largestFree,
      placedSince: STEP_KINDS.map(placed => `${placed}:${placedSince[placed].tasks}/${placedSince[placed].processors}m`).join(' ')
    })
  }
}
