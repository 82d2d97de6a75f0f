/**
 * Builds and reads a cell's snapshots, and reads its journal records; both carry a format version.
 */
import type { z } from 'zod'
import { AuburnpinError, Err, copyWith, Ok, type ConfigVersion, type Instant, type JournalSequence, type Result } from '@auburnpin/common'
import { CELL_FORMAT } from '../constants.ts'
import { recordSchema, snapshotSchema } from './journalSchema.ts'
import type { Task, Transition } from './types.ts'

/** The durable state of a cell up to and including a journal record. */
export type CellSnapshot = Readonly<{ format: number, through: JournalSequence, configured?: ConfigVersion, tasks: readonly Task[] }>

/** One record of the journal: transitions committed together, under configuration version `configured` or a later one. */
export type JournalRecord<Entry> = Readonly<{ format: number, epoch: number, configured?: ConfigVersion, transitions: readonly Entry[] }>

/** The snapshot of a cell's durable tasks, without what a new owner learns from worker reports. */
export const toSnapshot = (through: JournalSequence, tasks: Iterable<Task>, configured?: ConfigVersion): CellSnapshot =>
  ({ format: CELL_FORMAT, through, configured, tasks: [...tasks].map(toDurable) })

/** The snapshot's tasks for a new owner. Placements count as learnt at `now`: earlier reports don't show that an attempt is missing. */
export const fromSnapshot = (snapshot: CellSnapshot, now: Instant): Task[] =>
  snapshot.tasks.map(task => task.placement === undefined ? task : copyWith(task, { placement: copyWith(task.placement, { since: now }) }))

/** Reads a journal record; refuses one that this version can't read completely. */
export const readRecord = (value: unknown, label: string): Result<JournalRecord<Transition>, AuburnpinError> =>
  readVersioned<JournalRecord<Transition>>(value, recordSchema, label)

/** Reads a snapshot; refuses one that this version can't read completely. */
export const readSnapshot = (value: unknown, label: string): Result<CellSnapshot, AuburnpinError> =>
  readVersioned<CellSnapshot>(value, snapshotSchema, label)

/** Refuses a value with a format that this version can't read. */
export const checkFormat = <Value extends { readonly format: number }>(value: Value, label: string): Result<Value, AuburnpinError> => {
  if (value.format === CELL_FORMAT) return Ok(value)
  return Err(new AuburnpinError('version-mismatch', `${label} has format ${value.format}, this program reads ${CELL_FORMAT}`, 'Run the version of auburnpin that wrote it, or a newer one.'))
}

const readVersioned = <Value extends { readonly format: number }>(value: unknown, schema: z.ZodType, label: string): Result<Value, AuburnpinError> => {
  const hasFormat = typeof value === 'object' && value !== null && 'format' in value && typeof value.format === 'number'
  if (!hasFormat) return Err(corruptError(label, 'it has no format version'))
  const format = checkFormat(value as Value, label)
  if (format.err) return format
  const parsed = schema.safeParse(value)
  if (parsed.success) return Ok(value as Value)
  const [issue] = parsed.error.issues
  return Err(corruptError(label, `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`))
}

const corruptError = (label: string, detail: string): AuburnpinError =>
  new AuburnpinError('corrupt', `${label} can't be read: ${detail}`, 'Restore it from the platform\'s backup; nothing was discarded or reconstructed.')

const toDurable = (task: Task): Task => {
  if (task.placement === undefined) return task
  const { vm, session, isStopping } = task.placement
  const since = 0 as Instant
  return copyWith(task, {
    state: task.state === 'running' ? 'starting' : task.state,
    placement: { vm, session, since, isRunning: false, isStopping }
  })
}
