/**
 * The row that lists a cell's snapshots.
 */
import { z } from 'zod'
import { AuburnpinError, Err, Ok, type CellId, type JournalSequence, type Result, type RowVersion } from '@auburnpin/common'
import { CELL_FORMAT, checkFormat } from '@auburnpin/core'
import { snapshotPointerKey } from '@auburnpin/cluster'
import type { TableStore } from '@auburnpin/ports'

/** One snapshot in the object store. */
export type SnapshotReference = Readonly<{
  key: string
  /** Sequence number of the last journal record that the snapshot includes. */
  through: JournalSequence
  /** SHA-256 hash of the object, in hexadecimal. */
  digest: string
}>

/** A cell's snapshots, newest first, and the sequence number of the last trimmed journal record. */
export type SnapshotPointer = Readonly<{ format: number, kept: readonly SnapshotReference[], trimmed: JournalSequence }>

/** A snapshot pointer with the version of its row; `undefined` if the row does not exist yet. */
export type VersionedSnapshotPointer = Readonly<{ pointer: SnapshotPointer, version: RowVersion | undefined }>

const pointerSchema = z.looseObject({
  format: z.int(),
  kept: z.array(z.looseObject({ key: z.string(), through: z.int().min(1), digest: z.string() })),
  trimmed: z.int().min(0)
})

const NO_SNAPSHOT: SnapshotPointer = { format: CELL_FORMAT, kept: [], trimmed: 0 as JournalSequence }

/** Reads a cell's snapshot pointer. A cell without one has no snapshot and an untrimmed journal. */
export const readSnapshotPointer = async (table: TableStore, cell: CellId): Promise<Result<VersionedSnapshotPointer, AuburnpinError>> => {
  const row = await table.read(snapshotPointerKey(cell))
  if (row.err) return row
  if (row.val === null) return Ok({ pointer: NO_SNAPSHOT, version: undefined })
  const what = `Snapshot pointer of cell ${cell}`
  const parsed = pointerSchema.safeParse(row.val.value)
  if (!parsed.success) return Err(new AuburnpinError('corrupt', `${what} has an invalid format`, 'Restore the row from the platform\'s backup.'))
  const { version } = row.val
  return checkFormat(row.val.value as SnapshotPointer, what).map(pointer => ({ pointer, version }))
}
