/**
 * Reports gauges at regular intervals.
 */
import { Ticker, type CellId, type Clock, type InvariantCounter, type Log, type Metrics } from '@auburnpin/common'
import type { Configuration } from '@auburnpin/core'
import type { ConfigurationFollower, Membership } from '@auburnpin/cluster'
import type { Scheduler } from '@auburnpin/scheduler'

/** Components that the gauges are read from. */
export type GaugeSources = Readonly<{
  membership: Membership
  scheduler: Scheduler
  configuration: ConfigurationFollower
  invariants: InvariantCounter
}>

const REPORT_INTERVAL_MS = 5_000
const MS_PER_SECOND = 1_000

/** Reports the state of queues, the lease, the configuration and the invariants. */
export class GaugeReporter {
  readonly #sources: GaugeSources
  readonly #clock: Clock
  readonly #metrics: Metrics
  readonly #ticker: Ticker
  #evacuatedCells: ReadonlySet<CellId> = new Set()

  constructor (sources: GaugeSources, clock: Clock, metrics: Metrics, log: Log) {
    this.#sources = sources
    this.#clock = clock
    this.#metrics = metrics
    this.#ticker = new Ticker(clock, REPORT_INTERVAL_MS, () => this.report(), error => log.error(String(error)))
    sources.configuration.onChange(configuration => this.#reportLag(configuration))
  }

  start (): void {
    this.#ticker.start(REPORT_INTERVAL_MS)
  }

  stop (): Promise<void> {
    return this.#ticker.stop()
  }

  /** Reports every gauge once. */
  report (): void {
    const { membership, configuration, invariants } = this.#sources
    const { leaseAgeMs } = membership
    if (leaseAgeMs !== undefined) this.#metrics.gauge('lease.age', leaseAgeMs)
    this.#metrics.gauge('config.version', configuration.current.version)
    this.#metrics.gauge('invariants.broken', invariants.total)
    this.#reportQueues()
    this.#reportEvacuations()
  }

  #reportQueues (): void {
    for (const [cell, { states, oldestQueuedAt }] of this.#sources.scheduler.summaries) {
      const ageMs = oldestQueuedAt === null ? 0 : Math.max(0, this.#clock.wallTime() - oldestQueuedAt)
      this.#metrics.gauge('queue.length', states.queued, { cell })
      this.#metrics.gauge('queue.age', ageMs / MS_PER_SECOND, { cell })
    }
  }

  // Once more with 0 after the restoration or a change of the owner: a receiver of gauges keeps the last value.
  #reportEvacuations (): void {
    const { scheduler, configuration } = this.#sources
    this.#metrics.gauge('evacuation.dataCentres', Object.keys(configuration.current.evacuations).length)
    const before = this.#evacuatedCells
    const tasksIn = new Map(scheduler.evacuatedCells.map(({ cell, occupancy }) => [cell, occupancy.tasks]))
    this.#evacuatedCells = new Set(tasksIn.keys())
    for (const cell of new Set([...before, ...tasksIn.keys()])) this.#metrics.gauge('evacuation.tasks', tasksIn.get(cell) ?? 0, { cell })
  }

  // The wall clocks of two processes can differ, so a negative lag is reported as 0.
  #reportLag ({ acceptedAt }: Configuration): void {
    if (acceptedAt !== undefined) this.#metrics.timing('config.lag', Math.max(0, this.#clock.wallTime() - acceptedAt))
  }
}
