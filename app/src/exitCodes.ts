/**
 * What the program's exit code tells.
 */
import type { ErrorKind } from '@auburnpin/common'

/** Done as asked. */
export const EXIT_DONE = 0
/** Failed. */
export const EXIT_FAILED = 1
/** Wrong usage or an invalid file. */
export const EXIT_INVALID = 2
/** Something differs from what the request was based on. */
export const EXIT_CONFLICT = 3
/** The outcome is unknown or the platform is out of reach. */
export const EXIT_UNKNOWN = 4

/** The exit code for an error. */
export const exitCodeOf = (kind: ErrorKind): number => {
  if (kind === 'invalid-file' || kind === 'invalid-request') return EXIT_INVALID
  if (kind === 'conflict') return EXIT_CONFLICT
  if (kind === 'unknown-outcome' || kind === 'unreachable' || kind === 'timeout') return EXIT_UNKNOWN
  return EXIT_FAILED
}
