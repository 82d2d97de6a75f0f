/**
 * Structured log: one JSON record per line.
 */
import { Log, LOG_LEVELS, type Clock, type LogFields, type LogLevel } from '@auburnpin/common'
import { LogRateLimiter } from './LogRateLimiter.ts'
import type { LineQueue } from './LineQueue.ts'

/** Records with the same message that are written per second; under load an owner logs the end of some 150 runs per second. */
const RECORDS_PER_SECOND = 200

/**
 * Writes records of at least a given level, rate-limited per message. The next record of a message states how many were
 * suppressed by the limit; a separate record states how many were dropped because the output was slow.
 *
 * @example
 * const log = new JsonLog(queue, clock, 'info', 'jobs')
 * log.info('Job submitted', { job: id })
 */
export class JsonLog extends Log {
  readonly #queue: LineQueue
  readonly #clock: Clock
  readonly #minLevel: LogLevel
  readonly #component: string
  readonly #limiter: LogRateLimiter

  constructor (queue: LineQueue, clock: Clock, minLevel: LogLevel, component: string, limiter = new LogRateLimiter(RECORDS_PER_SECOND)) {
    super()
    this.#queue = queue
    this.#clock = clock
    this.#minLevel = minLevel
    this.#component = component
    this.#limiter = limiter
  }

  /** Total number of records suppressed by the rate limit. */
  get suppressed (): number {
    return this.#limiter.suppressed
  }

  write (level: LogLevel, message: string, fields?: LogFields): void {
    if (LOG_LEVELS.indexOf(level) < LOG_LEVELS.indexOf(this.#minLevel)) return
    const now = this.#clock.wallTime()
    if (!this.#limiter.tryAcquire(message, now)) return
    const at = new Date(now).toISOString()
    const suppressed = this.#limiter.takeSuppressed(message)
    const more = suppressed === 0 ? fields : { ...fields, leftOutBefore: suppressed }
    if (!this.#queue.add(JSON.stringify({ at, level, component: this.#component, message, ...more }))) return
    const dropped = this.#queue.takeDropped()
    if (dropped > 0) this.#queue.add(JSON.stringify({ at, level: 'warn', component: 'log', message: 'Log records were dropped because the output is slow', dropped }))
  }

  forComponent (component: string): Log {
    return new JsonLog(this.#queue, this.#clock, this.#minLevel, component, this.#limiter)
  }
}
