/**
 * A cell's tasks as one versioned object, and back.
 */
import { AuburnpinError, Err, Ok, type JournalSequence, type Result } from '@auburnpin/common'
import { CELL_FORMAT } from '../constants.ts'
import type { Task } from './types.ts'

/** Everything lasting of a cell up to and including a journal record. */
export type CellSnapshot = Readonly<{ format: number, through: JournalSequence, tasks: readonly Task[] }>

/** One record of the journal: transitions committed together. */
export type JournalRecord<Entry> = Readonly<{ format: number, epoch: number, transitions: readonly Entry[] }>

/** Refuses anything that this version can't read. */
export const checkFormat = <Value extends { readonly format: number }>(value: Value, what: string): Result<Value, AuburnpinError> => {
  if (value.format === CELL_FORMAT) return Ok(value)
  return Err(new AuburnpinError('version-mismatch', `${what} has format ${value.format}, this program reads ${CELL_FORMAT}`, 'Run the version of auburnpin that wrote it, or a newer one.'))
}
