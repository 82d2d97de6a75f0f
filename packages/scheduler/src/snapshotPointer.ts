/**
 * The row that names a cell's snapshots.
 */
import { z } from 'zod'
import { AuburnpinError, Err, Ok, type CellId, type JournalSequence, type Result, type RowVersion } from '@auburnpin/common'
import { CELL_FORMAT, checkFormat } from '@auburnpin/core'
import { snapshotPointerKey } from '@auburnpin/cluster'
import type { TableStore } from '@auburnpin/ports'

/** One snapshot in the object store. */
export type SnapshotReference = Readonly<{
  key: string
  /** Last journal record that the snapshot contains. */
  through: JournalSequence
  /** SHA-256 of the object, in hexadecimal. */
  digest: string
}>

/** A cell's snapshots, newest first, and the last journal record that was trimmed. */
export type SnapshotPointer = Readonly<{ format: number, kept: readonly SnapshotReference[], trimmed: JournalSequence }>

/** The pointer with the version of its row. */
export type SeenPointer = Readonly<{ pointer: SnapshotPointer, version: RowVersion | undefined }>

const pointerSchema = z.looseObject({
  format: z.int(),
  kept: z.array(z.looseObject({ key: z.string(), through: z.int().min(1), digest: z.string() })),
  trimmed: z.int().min(0)
})

const NO_SNAPSHOT: SnapshotPointer = { format: CELL_FORMAT, kept: [], trimmed: 0 as JournalSequence }

/** Reads a cell's pointer; a cell without one has its whole journal. */
export const readSnapshotPointer = async (table: TableStore, cell: CellId): Promise<Result<SeenPointer, AuburnpinError>> => {
  const row = await table.read(snapshotPointerKey(cell))
  if (row.err) return row
  if (row.val === null) return Ok({ pointer: NO_SNAPSHOT, version: undefined })
  const what = `Snapshot pointer of cell ${cell}`
  const parsed = pointerSchema.safeParse(row.val.value)
  if (!parsed.success) return Err(new AuburnpinError('corrupt', `${what} can't be read`, 'Restore the row from the platform\'s backup.'))
  const { version } = row.val
  return checkFormat(row.val.value as SnapshotPointer, what).map(pointer => ({ pointer, version }))
}
