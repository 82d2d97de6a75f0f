/**
 * Rebuilds a cell's lasting state from its newest readable snapshot and the journal after it.
 */
import { createHash } from 'node:crypto'
import { AuburnpinError, brand, Err, Ok, type CellId, type ConfigVersion, type JournalSequence, type Log, type Result } from '@auburnpin/common'
import { readRecord, readSnapshot, type CellSnapshot, type Transition } from '@auburnpin/core'
import { journalKey, journalPrefix } from '@auburnpin/cluster'
import type { ObjectStore, TableStore } from '@auburnpin/ports'
import { readSnapshotPointer, type SeenPointer, type SnapshotReference } from './snapshotPointer.ts'

/** What a cell's journal and snapshots hold. */
export type RecoveredJournal = Readonly<{
  snapshot: CellSnapshot | undefined
  transitions: readonly Transition[]
  last: JournalSequence
  /** Version of the last configuration that an owner brought the tasks into line with. */
  configured: ConfigVersion
  seen: SeenPointer
}>

/**
 * Reads a cell back. A snapshot that can't be read is passed over for the older one; a journal record that
 * can't, or a gap in the journal, is an error, for nothing may be dropped.
 */
export const recoverCell = async (table: TableStore, objects: ObjectStore, log: Log, cell: CellId): Promise<Result<RecoveredJournal, AuburnpinError>> => {
  const seen = await readSnapshotPointer(table, cell)
  if (seen.err) return seen
  const snapshot = await readNewest(objects, log, cell, seen.val)
  if (snapshot.err) return snapshot
  const through = snapshot.val?.through ?? brand<JournalSequence>(0)
  const journal = await readJournal(table, cell, through)
  return journal.map(read => ({ ...read, configured: laterOf(read.configured, snapshot.val?.configured), snapshot: snapshot.val, seen: seen.val }))
}

const readNewest = async (objects: ObjectStore, log: Log, cell: CellId, { pointer }: SeenPointer): Promise<Result<CellSnapshot | undefined, AuburnpinError>> => {
  let refused: AuburnpinError | undefined
  for (const reference of pointer.kept) {
    const snapshot = await readObject(objects, reference)
    if (snapshot.ok) return snapshot
    // A store that doesn't answer says nothing about the snapshot.
    if (!isUnreadable(snapshot.val)) return snapshot
    log.error('A snapshot was refused; the older one is used', { cell, key: reference.key, reason: snapshot.val.message })
    refused = snapshot.val
  }
  // Without any snapshot the whole journal does, unless it has been trimmed.
  if (refused === undefined || pointer.trimmed === 0) return Ok(undefined)
  return Err(refused)
}

const isUnreadable = (error: AuburnpinError): boolean => error.kind === 'corrupt' || error.kind === 'version-mismatch'

const readObject = async (objects: ObjectStore, reference: SnapshotReference): Promise<Result<CellSnapshot, AuburnpinError>> => {
  const content = await objects.read(reference.key)
  if (content.err) return content
  if (content.val === null) return Err(corrupt(`Snapshot ${reference.key} is gone`))
  if (digestOf(content.val) !== reference.digest) return Err(corrupt(`Snapshot ${reference.key} is not what was written`))
  const snapshot = readSnapshot(JSON.parse(Buffer.from(content.val).toString('utf8')), `Snapshot ${reference.key}`)
  if (snapshot.ok && snapshot.val.through !== reference.through) return Err(corrupt(`Snapshot ${reference.key} is of another record`))
  return snapshot
}

const laterOf = (left: ConfigVersion, right: ConfigVersion | undefined): ConfigVersion =>
  right === undefined || left >= right ? left : right

type ReadJournal = Pick<RecoveredJournal, 'transitions' | 'last' | 'configured'>

const readJournal = async (table: TableStore, cell: CellId, through: JournalSequence): Promise<Result<ReadJournal, AuburnpinError>> => {
  const prefix = journalPrefix(cell)
  const rows = await table.listAll(prefix, through === 0 ? '' : journalKey(cell, through))
  if (rows.err) return rows
  const transitions: Transition[] = []
  let last = through
  let configured = brand<ConfigVersion>(0)
  for (const row of rows.val) {
    const sequence = Number(row.key.slice(prefix.length))
    if (sequence !== last + 1) return Err(corrupt(`The journal of cell ${cell} goes from record ${last} to ${sequence}`))
    const record = readRecord(row.value, `Journal record ${row.key}`)
    if (record.err) return record
    for (const transition of record.val.transitions) transitions.push(transition)
    configured = laterOf(configured, record.val.configured)
    last = brand<JournalSequence>(sequence)
  }
  return Ok({ transitions, last, configured })
}

/** SHA-256 of a snapshot's bytes, in hexadecimal. */
export const digestOf = (content: Uint8Array): string => createHash('sha256').update(content).digest('hex')

const corrupt = (message: string): AuburnpinError =>
  new AuburnpinError('corrupt', message, 'Restore the rows or objects from the platform\'s backup; nothing was dropped or guessed.')
