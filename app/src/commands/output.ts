/**
 * Output of commands: results on standard output, errors, faults and progress on standard error.
 */
import { toAuburnpinError, type AuburnpinError } from '@auburnpin/common'
import { EXIT_INVALID, exitCodeOf } from '../exitCodes.ts'
import { formatFault, type FileFault } from '../settings/FileFault.ts'

const ERASE_LINE = '\r\u001b[2K'

/** Prints one line of a result. */
export const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }

/** Prints an error with its remedy, as JSON if `isJson`, and returns the exit code. */
export const printError = (error: AuburnpinError, isJson = false): number => {
  const text = isJson ? JSON.stringify(error.toReport()) : `${error.kind}: ${error.message}. ${error.remedy}`
  process.stderr.write(`${text}\n`)
  return exitCodeOf(error.kind)
}

/** Prints the faults of a file, one per line or as JSON, and returns the exit code. */
export const printFaults = (faults: readonly FileFault[], isJson = false): number => {
  if (isJson) process.stderr.write(`${JSON.stringify({ faults })}\n`)
  else for (const fault of faults) process.stderr.write(`${formatFault(fault)}\n`)
  return EXIT_INVALID
}

/** Shows progress on one line that overwrites itself; prints nothing unless standard error is a terminal. */
export const showProgress = (text: string): void => {
  if (process.stderr.isTTY) process.stderr.write(`${ERASE_LINE}${text}`)
}

/** Erases the progress line. */
export const endProgress = (): void => showProgress('')

/** Prints the error of a listener that can't be opened and exits the process, which listeners that are already open would keep running. */
export const exitOnListenError = (thrown: unknown): never => {
  const error = toAuburnpinError(thrown, 'invalid-request', 'Give a free port at an address of this VM, or end the process that holds it.')
  return process.exit(printError(error))
}
