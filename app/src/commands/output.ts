/**
 * What commands print: results on standard output, faults on standard error.
 */
import { type AuburnpinError } from '@auburnpin/common'
import { EXIT_INVALID, exitCodeOf } from '../exitCodes.ts'
import { formatFault, type FileFault } from '../settings/FileFault.ts'

/** Prints one line of result. */
export const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }

/** Prints an error with its remedy and returns the exit code. */
export const printError = (error: AuburnpinError): number => {
  process.stderr.write(`${error.kind}: ${error.message}. ${error.remedy}\n`)
  return exitCodeOf(error.kind)
}

/** Prints the faults of a file, a line each, and returns the exit code. */
export const printFaults = (faults: readonly FileFault[]): number => {
  for (const fault of faults) process.stderr.write(`${formatFault(fault)}\n`)
  return EXIT_INVALID
}
