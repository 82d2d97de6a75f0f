/**
 * How fast waiting work of one kind is started.
 */
import { FORECAST_PRIOR_MS, FORECAST_RATE_MEMORY_MS, IDLE_RATE_MEMORY_MS, MAX_DRAIN_MS, MAX_FORECAST_WAIT_MS, MIN_DRAIN_SHARE } from './constants.ts'

/** Work in thousandths of a core times milliseconds, by rank; see `workRank`. */
type WorkByRank = Map<number, number>

/**
 * Measures the rate of started work while work waits, and by rank the rate at which work arrives: what was started of
 * it plus the growth of what waits. Until work has waited for a while, the rate of fully used processors is assumed,
 * which is the shortest wait possible.
 *
 * @example
 * rate.recordStart(rank, work)
 * rate.observe(backlog, processors, hasIdleWorker, elapsedMs)
 * rate.waitMs(rank) // 1_800
 */
export class DrainRate {
  readonly #started: WorkByRank = new Map()
  readonly #arrived: WorkByRank = new Map()
  #backlog: ReadonlyMap<number, number> = new Map()
  #processors = 0
  #hasIdleWorker = false
  #startedWhileWaiting = 0
  #waitingMs = 0
  #arrivalMs = 0

  /** Records work that is started. */
  recordStart (rank: number, work: number): void {
    this.#started.set(rank, (this.#started.get(rank) ?? 0) + work)
  }

  /** Records the work that waits, `elapsedMs` after the call before. */
  observe (backlog: ReadonlyMap<number, number>, processors: number, hasIdleWorker: boolean, elapsedMs: number): void {
    this.#observeStarts(backlog.size > 0 && this.#backlog.size > 0 && !hasIdleWorker, elapsedMs)
    this.#observeArrivals(backlog, elapsedMs)
    this.#started.clear()
    this.#backlog = backlog
    this.#processors = processors
    this.#hasIdleWorker = hasIdleWorker
  }

  /** Milliseconds until all work that comes before work of this rank is started; 0 while a worker is idle. */
  waitMs (rank: number): number {
    if (this.#hasIdleWorker) return 0
    const ahead = sumBefore(this.#backlog, rank)
    if (ahead <= 0) return 0
    const rate = this.#rate
    if (rate <= 0) return MAX_FORECAST_WAIT_MS
    const arriving = this.#arrivalMs === 0 ? 0 : Math.max(0, sumBefore(this.#arrived, rank)) / (this.#arrivalMs + FORECAST_PRIOR_MS)
    return Math.min(MAX_FORECAST_WAIT_MS, ahead / Math.max(MIN_DRAIN_SHARE * rate, rate - arriving))
  }

  /** Milliseconds until all work that waits now is started, at most `MAX_DRAIN_MS`. */
  get drainMs (): number {
    let waiting = 0
    for (const work of this.#backlog.values()) waiting += work
    if (waiting <= 0) return 0
    return this.#rate <= 0 ? MAX_DRAIN_MS : Math.min(MAX_DRAIN_MS, waiting / this.#rate)
  }

  get #rate (): number {
    return (this.#startedWhileWaiting + FORECAST_PRIOR_MS * this.#processors) / (this.#waitingMs + FORECAST_PRIOR_MS)
  }

  // Starts while nothing waits show the demand and not the rate that is possible.
  #observeStarts (isWaiting: boolean, elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / (isWaiting ? FORECAST_RATE_MEMORY_MS : IDLE_RATE_MEMORY_MS))
    this.#startedWhileWaiting *= factor
    this.#waitingMs *= factor
    if (!isWaiting) return
    this.#waitingMs += elapsedMs
    for (const work of this.#started.values()) this.#startedWhileWaiting += work
  }

  #observeArrivals (backlog: ReadonlyMap<number, number>, elapsedMs: number): void {
    const factor = Math.exp(-elapsedMs / FORECAST_RATE_MEMORY_MS)
    this.#arrivalMs = this.#arrivalMs * factor + elapsedMs
    for (const rank of new Set([...this.#arrived.keys(), ...this.#started.keys(), ...backlog.keys(), ...this.#backlog.keys()])) {
      const arrived = (this.#arrived.get(rank) ?? 0) * factor + (this.#started.get(rank) ?? 0) + (backlog.get(rank) ?? 0) - (this.#backlog.get(rank) ?? 0)
      if (Math.abs(arrived) < 1) this.#arrived.delete(rank)
      else this.#arrived.set(rank, arrived)
    }
  }
}

// Of the work of the same rank, half comes before on average.
const sumBefore = (amounts: ReadonlyMap<number, number>, rank: number): number => {
  let sum = 0
  for (const [other, work] of amounts) {
    if (other < rank) sum += work
    else if (other === rank) sum += work / 2
  }
  return sum
}
