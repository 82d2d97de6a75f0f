/**
 * What commands print: results on standard output, faults and progress on standard error.
 */
import { toAuburnpinError, type AuburnpinError } from '@auburnpin/common'
import { EXIT_INVALID, exitCodeOf } from '../exitCodes.ts'
import { formatFault, type FileFault } from '../settings/FileFault.ts'

const ERASE_LINE = '\r\u001b[2K'

/** Prints one line of result. */
export const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }

/** Prints an error with its remedy, as JSON if asked, and returns the exit code. */
export const printError = (error: AuburnpinError, isJson = false): number => {
  const text = isJson ? JSON.stringify(error.toReport()) : `${error.kind}: ${error.message}. ${error.remedy}`
  process.stderr.write(`${text}\n`)
  return exitCodeOf(error.kind)
}

/** Prints the faults of a file, a line each or as JSON, and returns the exit code. */
export const printFaults = (faults: readonly FileFault[], isJson = false): number => {
  if (isJson) process.stderr.write(`${JSON.stringify({ faults })}\n`)
  else for (const fault of faults) process.stderr.write(`${formatFault(fault)}\n`)
  return EXIT_INVALID
}

/** Shows what is awaited on one line that replaces itself; silent when no person looks on. */
export const showProgress = (text: string): void => {
  if (process.stderr.isTTY) process.stderr.write(`${ERASE_LINE}${text}`)
}

/** Takes the progress line away. */
export const endProgress = (): void => showProgress('')

/** Ends the program when an address can't be listened at; listeners that are open already would keep it running. */
export const failToListen = (thrown: unknown): never => {
  const error = toAuburnpinError(thrown, 'invalid-request', 'Give a free port at an address of this VM, or end the process that holds it.')
  return process.exit(printError(error))
}
