/**
 * Typed errors. Each has a message that states what is wrong, and a remedy.
 */

/** Kinds of errors that auburnpin reports. */
export const ERROR_KINDS = [
  'invalid-file',
  'invalid-request',
  'unauthorised',
  'not-found',
  'conflict',
  'overloaded',
  'leaving',
  'timeout',
  'unreachable',
  'unknown-outcome',
  'fenced',
  'corrupt',
  'version-mismatch',
  'invariant'
] as const

/** One of the kinds of error. */
export type ErrorKind = typeof ERROR_KINDS[number]

/** An error as reported outside the process. */
export type ErrorReport = Readonly<{
  kind: ErrorKind
  message: string
  remedy: string
}>

/**
 * An error with its kind and its remedy.
 *
 * @example
 * new AuburnpinError('not-found', 'Job "a" is not known.', 'List the jobs with `auburnpin jobs list`.')
 */
export class AuburnpinError extends Error {
  readonly #kind: ErrorKind
  readonly #remedy: string

  constructor (kind: ErrorKind, message: string, remedy: string, options?: ErrorOptions) {
    super(message, options)
    this.#kind = kind
    this.#remedy = remedy
  }

  override get name (): string {
    return 'AuburnpinError'
  }

  get kind (): ErrorKind {
    return this.#kind
  }

  get remedy (): string {
    return this.#remedy
  }

  /** The error as sent to other processes or written to a log. */
  toReport (): ErrorReport {
    return { kind: this.#kind, message: this.message, remedy: this.#remedy }
  }
}

/**
 * Converts any thrown value into an `AuburnpinError` and keeps it as the cause.
 *
 * @example
 * try { await read() } catch (thrown) { return Err(toAuburnpinError(thrown, 'unreachable', 'Try again.')) }
 */
export const toAuburnpinError = (thrown: unknown, kind: ErrorKind, remedy: string): AuburnpinError => {
  if (thrown instanceof AuburnpinError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new AuburnpinError(kind, message, remedy, { cause: thrown })
}
