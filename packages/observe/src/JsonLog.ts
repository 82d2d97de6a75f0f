/**
 * Log records as JSON, one a line.
 */
import { Log, LOG_LEVELS, type Clock, type LogFields, type LogLevel } from '@auburnpin/common'
import type { LineQueue } from './LineQueue.ts'

/**
 * Writes records of at least a level; a record that says how many were dropped follows a gap.
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

  constructor (queue: LineQueue, clock: Clock, least: LogLevel, component: string) {
    super()
    this.#queue = queue
    this.#clock = clock
    this.#least = least
    this.#component = component
  }

  write (level: LogLevel, message: string, fields?: LogFields): void {
    if (LOG_LEVELS.indexOf(level) < LOG_LEVELS.indexOf(this.#least)) return
    const at = new Date(this.#clock.wallTime()).toISOString()
    const isAdded = this.#queue.add(JSON.stringify({ at, level, component: this.#component, message, ...fields }))
    if (!isAdded) return
    const dropped = this.#queue.takeDropped()
    if (dropped > 0) this.#queue.add(JSON.stringify({ at, level: 'warn', component: 'log', message: 'Records were dropped because the reader is slow', dropped }))
  }

  forComponent (component: string): Log {
    return new JsonLog(this.#queue, this.#clock, this.#least, component)
  }
}
