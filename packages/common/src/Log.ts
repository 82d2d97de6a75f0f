/**
 * Port for log records.
 */

/** Structured values of a log record beside its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>

/** Severity of a record, least first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

/** One of the levels. */
export type LogLevel = typeof LOG_LEVELS[number]

/** Writes records of one component. */
export abstract class Log {
  abstract write (level: LogLevel, message: string, fields?: LogFields): void
  /** A log with the same output for another component. */
  abstract forComponent (component: string): Log

  debug (message: string, fields?: LogFields): void {
    this.write('debug', message, fields)
  }

  info (message: string, fields?: LogFields): void {
    this.write('info', message, fields)
  }

  warn (message: string, fields?: LogFields): void {
    this.write('warn', message, fields)
  }

  error (message: string, fields?: LogFields): void {
    this.write('error', message, fields)
  }
}

/** Discards every record. */
export class SilentLog extends Log {
  write (): void {}

  forComponent (): Log {
    return this
  }
}
