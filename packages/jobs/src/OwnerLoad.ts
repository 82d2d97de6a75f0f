/**
 * Measures how well a process keeps up with the cell that it owns.
 */
import type { CellId } from '@auburnpin/common'
import { MAX_REPORT_INTERVAL_MS, MIN_REPORT_INTERVAL_MS } from './constants.ts'
import { OverloadDetector } from './OverloadDetector.ts'
import type { OwnerPorts } from './OwnerPorts.ts'
import { PassSpacing } from './PassSpacing.ts'
import type { UsedTime } from './ProcessUsage.ts'

/** Weight of the last answer in the recent time until answers. */
const RESPONSE_SMOOTHING = 0.05

type Figures = { passes: number, passMs: number, longestPassMs: number, loopDelayMs: number, starts: number, startMs: number, longestStartMs: number, reports: number }

const noFigures = (): Figures => ({ passes: 0, passMs: 0, longestPassMs: 0, loopDelayMs: 0, starts: 0, startMs: 0, longestStartMs: 0, reports: 0 })

const percent = (end: number | undefined, start: number | undefined, overMs: number): number | undefined =>
  end === undefined || start === undefined ? undefined : Math.round(100 * (end - start) / overMs)

const mean = (sum: number, count: number): number => count === 0 ? 0 : Number((sum / count).toFixed(1))

/**
 * Collects the duration of scheduling passes, the delay of timers and the time until workers answer orders to start. They
 * tell an owner without enough processor time (late timers, late answers) from one whose tasks wait for workers, and
 * what it spends that time on.
 *
 * @example
 * load.recordPass(4.2)
 * if (load.recordTick(12)) releaseCell()
 * load.report() // one record, `Load of the owner`
 */
export class OwnerLoad {
  readonly #ports: Pick<OwnerPorts, 'clock' | 'log' | 'metrics' | 'usage'>
  readonly #cell: CellId
  readonly #overloadDetector = new OverloadDetector()
  readonly #passSpacing = new PassSpacing()
  #figures = noFigures()
  #responseMs = 0
  #reportedAt: number
  #used: UsedTime | undefined

  constructor (ports: Pick<OwnerPorts, 'clock' | 'log' | 'metrics' | 'usage'>, cell: CellId) {
    this.#ports = ports
    this.#cell = cell
    this.#reportedAt = ports.clock.now()
    this.#used = ports.usage?.read()
  }

  /** Milliseconds to wait before the next scheduling pass. */
  get passDelayMs (): number {
    return this.#passSpacing.delayMs
  }

  /** Records a scheduling pass, by its duration in milliseconds. */
  recordPass (durationMs: number): void {
    this.#passSpacing.recordPass(durationMs)
    this.#figures.passes++
    this.#figures.passMs += durationMs
    this.#figures.longestPassMs = Math.max(this.#figures.longestPassMs, durationMs)
  }

  /** Records by how many milliseconds a tick was late. Returns `true` while the process is overloaded. */
  recordTick (lateMs: number): boolean {
    this.#figures.loopDelayMs = Math.max(this.#figures.loopDelayMs, lateMs)
    return this.#overloadDetector.recordTick(lateMs)
  }

  /** Time between two reports of one worker, in milliseconds. While answers of workers wait for this process, it is as long as they wait, so that a report lists more ends. */
  get reportIntervalMs (): number {
    return Math.min(MAX_REPORT_INTERVAL_MS, Math.max(MIN_REPORT_INTERVAL_MS, this.#responseMs))
  }

  /** Records the answer to an order to start, by the milliseconds since the order was sent. */
  recordStart (durationMs: number): void {
    this.#responseMs += RESPONSE_SMOOTHING * (durationMs - this.#responseMs)
    this.#figures.starts++
    this.#figures.startMs += durationMs
    this.#figures.longestStartMs = Math.max(this.#figures.longestStartMs, durationMs)
  }

  /** Records a worker's report. */
  recordReport (): void {
    this.#figures.reports++
  }

  /** Logs the figures since the last call. */
  report (): void {
    const { clock, log, metrics } = this.#ports
    const now = clock.now()
    const used = this.#ports.usage?.read()
    const overMs = Math.max(1, now - this.#reportedAt)
    const { passes, passMs, longestPassMs, loopDelayMs, starts, startMs, longestStartMs, reports } = this.#figures
    log.info('Load of the owner', {
      cell: this.#cell,
      overMs: Math.round(overMs),
      processorPercent: percent(used?.processorMs, this.#used?.processorMs, overMs),
      garbageCollectionPercent: percent(used?.garbageCollectionMs, this.#used?.garbageCollectionMs, overMs),
      passes,
      passMs: mean(passMs, passes),
      longestPassMs: Math.round(longestPassMs),
      loopDelayMs: Math.round(loopDelayMs),
      starts,
      startMs: mean(startMs, starts),
      longestStartMs: Math.round(longestStartMs),
      reports
    })
    metrics.gauge('owner.loopDelay', loopDelayMs, { cell: this.#cell })
    metrics.gauge('owner.passTime', mean(passMs, passes), { cell: this.#cell })
    this.#figures = noFigures()
    this.#reportedAt = now
    this.#used = used
  }

  /** Clears the gauges, as the process no longer owns the cell. */
  stop (): void {
    this.#ports.metrics.gauge('owner.loopDelay', 0, { cell: this.#cell })
    this.#ports.metrics.gauge('owner.passTime', 0, { cell: this.#cell })
  }
}
