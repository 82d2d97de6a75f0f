/**
 * The port through which the program tells what it does.
 */

/** Values that a log record may carry besides its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>

/** Importance of a record, least first. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

/** One of the levels. */
export type LogLevel = typeof LOG_LEVELS[number]

/** Takes records of one component. */
export abstract class Log {
  abstract write (level: LogLevel, message: string, fields?: LogFields): void
  /** The same log under another component's name. */
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

/** Drops every record. */
export class SilentLog extends Log {
  write (): void {}

  forComponent (): Log {
    return this
  }
}
