/**
 * Writes the log as JSON lines through `consola`.
 */
import { createConsola, type ConsolaInstance } from 'consola/core'
import { Log, type LogFields, type LogLevel } from '@auburnpin/common'

type Context = Readonly<{ level: LogLevel, component: string, fields: LogFields }>

/** Receives each log line. Commands write it to standard error, as standard output is for their results. */
export type LineWriter = (line: string) => void

const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 }

/** Writes one JSON object per line: time, level, component, message and fields. */
export class ConsolaLog extends Log {
  readonly #consola: ConsolaInstance
  readonly #component: string

  private constructor (consola: ConsolaInstance, component: string) {
    super()
    this.#consola = consola
    this.#component = component
  }

  /** Creates a log that drops records below `level`. */
  static create (level: LogLevel, writeLine: LineWriter): ConsolaLog {
    const consola = createConsola({
      level: CONSOLA_LEVELS[level],
      throttle: 0,
      reporters: [{
        log: record => {
          const [message, { level: recordLevel, component, fields }] = record.args as [string, Context]
          writeLine(JSON.stringify({ time: record.date.toISOString(), level: recordLevel, component, message, fields }))
        }
      }]
    })
    return new ConsolaLog(consola, 'auburnpin')
  }

  write (level: LogLevel, message: string, fields: LogFields = {}): void {
    const context: Context = { level, component: this.#component, fields }
    this.#consola[level](message, context)
  }

  forComponent (component: string): Log {
    return new ConsolaLog(this.#consola, component)
  }
}
