/**
 * Faults of a file that a person wrote, each with its place.
 */

/** One fault; the line counts from 1. */
export type FileFault = Readonly<{ file: string, line: number, key: string, message: string, remedy: string }>

/** One line for one fault. */
export const formatFault = (fault: FileFault): string =>
  `${fault.file}:${fault.line}: ${fault.key === '' ? '' : `${fault.key}: `}${fault.message}. ${fault.remedy}`
