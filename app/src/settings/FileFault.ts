/**
 * Validation errors of a file that a user wrote, each with its position.
 */

/** One fault; lines are numbered from 1. */
export type FileFault = Readonly<{ file: string, line: number, key: string, message: string, remedy: string }>

/** Formats a fault as one line. */
export const formatFault = (fault: FileFault): string =>
  `${fault.file}:${fault.line}: ${fault.key === '' ? '' : `${fault.key}: `}${fault.message}. ${fault.remedy}`
