/**
 * Exit codes of the command line.
 */
import type { ErrorKind } from '@auburnpin/common'

/** The command succeeded. */
export const EXIT_SUCCESS = 0
/** The command failed for a reason that has no code of its own. */
export const EXIT_FAILURE = 1
/** The usage is wrong, or a file or request is invalid. */
export const EXIT_INVALID = 2
/** The current state differs from the one that the request or the settings assume. */
export const EXIT_CONFLICT = 3
/** The outcome is unknown, or the member or the platform is unreachable or did not respond in time. */
export const EXIT_UNKNOWN = 4

/** Maps the kind of an error to an exit code. */
export const exitCodeOf = (kind: ErrorKind): number => {
  if (kind === 'invalid-file' || kind === 'invalid-request') return EXIT_INVALID
  if (kind === 'conflict') return EXIT_CONFLICT
  if (kind === 'unknown-outcome' || kind === 'unreachable' || kind === 'timeout') return EXIT_UNKNOWN
  return EXIT_FAILURE
}
