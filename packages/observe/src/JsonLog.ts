/**
 * Log records as JSON, one a line.
 */
import { Log, LOG_LEVELS, type Clock, type LogFields, type LogLevel } from '@auburnpin/common'
import { LogBudget } from './LogBudget.ts'
import type { LineQueue } from './LineQueue.ts'

/** Records of one message that are written in a second; a busy owner ends some 150 runs in one. */
const RECORDS_PER_SECOND = 200

/**
 * Writes records of at least a level, so many of each message a second; the next record of a message says how
 * many were left out, and one of its own says how many a slow reader cost.
 *
 * @example
 * const log = new JsonLog(queue, clock, 'info', 'jobs')
 * log.info('Job submitted', { job: id })
 */
export class JsonLog extends Log {
  readonly #queue: LineQueue
  readonly #clock: Clock
  readonly #least: LogLevel
  readonly #component: string
  readonly #budget: LogBudget

  constructor (queue: LineQueue, clock: Clock, least: LogLevel, component: string, budget = new LogBudget(RECORDS_PER_SECOND)) {
    super()
    this.#queue = queue
    this.#clock = clock
    this.#least = least
    this.#component = component
    this.#budget = budget
  }

  /** Records left out so far because there were too many of their kind. */
  get leftOut (): number {
    return this.#budget.leftOut
  }

  write (level: LogLevel, message: string, fields?: LogFields): void {
    if (LOG_LEVELS.indexOf(level) < LOG_LEVELS.indexOf(this.#least)) return
    const now = this.#clock.wallTime()
    if (!this.#budget.take(message, now)) return
    const at = new Date(now).toISOString()
    const leftOut = this.#budget.takeLeftOut(message)
    const more = leftOut === 0 ? fields : { ...fields, leftOutBefore: leftOut }
    if (!this.#queue.add(JSON.stringify({ at, level, component: this.#component, message, ...more }))) return
    const dropped = this.#queue.takeDropped()
    if (dropped > 0) this.#queue.add(JSON.stringify({ at, level: 'warn', component: 'log', message: 'Records were dropped because the reader is slow', dropped }))
  }

  forComponent (component: string): Log {
    return new JsonLog(this.#queue, this.#clock, this.#least, component, this.#budget)
  }
}
