/**
 * Rebuilds a cell's lasting state from its journal.
 */
import { brand, Ok, type AuburnpinError, type CellId, type JournalSequence, type Result } from '@auburnpin/common'
import { checkFormat, type JournalRecord, type Transition } from '@auburnpin/core'
import { journalPrefix } from '@auburnpin/cluster'
import type { TableStore } from '@auburnpin/platform'

/** What a journal holds. */
export type RecoveredJournal = Readonly<{ transitions: readonly Transition[], last: JournalSequence }>

/** Reads the whole journal of a cell; a record in an unknown format stops the recovery. */
export const recoverCell = async (table: TableStore, cell: CellId): Promise<Result<RecoveredJournal, AuburnpinError>> => {
  const prefix = journalPrefix(cell)
  const rows = await table.listAll(prefix)
  if (rows.err) return rows
  const transitions: Transition[] = []
  let last = brand<JournalSequence>(0)
  for (const row of rows.val) {
    const record = checkFormat(row.value as JournalRecord<Transition>, `Journal record ${row.key}`)
    if (record.err) return record
    transitions.push(...record.val.transitions)
    last = brand<JournalSequence>(Number(row.key.slice(prefix.length)))
  }
  return Ok({ transitions, last })
}
