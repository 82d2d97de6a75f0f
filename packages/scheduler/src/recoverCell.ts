/**
 * Recovery of a cell's durable state from its newest valid snapshot and the journal after it.
 */
import { createHash } from 'node:crypto'
import { AuburnpinError, brand, Err, Ok, type CellId, type ConfigVersion, type JournalSequence, type Log, type Result } from '@auburnpin/common'
import { readRecord, readSnapshot, type CellSnapshot, type Transition } from '@auburnpin/core'
import { journalKey, journalPrefix } from '@auburnpin/cluster'
import type { ObjectStore, TableStore } from '@auburnpin/ports'
import { readSnapshotPointer, type SnapshotReference, type VersionedSnapshotPointer } from './snapshotPointer.ts'

/** Content of a cell's newest valid snapshot and of the journal after it. */
export type RecoveredJournal = Readonly<{
  snapshot: CellSnapshot | undefined
  transitions: readonly Transition[]
  last: JournalSequence
  /** Version of the last configuration that an owner applied to the tasks. */
  configured: ConfigVersion
  snapshotPointer: VersionedSnapshotPointer
}>

/**
 * Reads a cell's snapshot and journal. An invalid snapshot is skipped in favour of the older one. An invalid
 * journal record or a gap in the journal is an error, because no record may be lost.
 */
export const recoverCell = async (table: TableStore, objects: ObjectStore, log: Log, cell: CellId): Promise<Result<RecoveredJournal, AuburnpinError>> => {
  const pointer = await readSnapshotPointer(table, cell)
  if (pointer.err) return pointer
  const snapshot = await readNewestSnapshot(objects, log, cell, pointer.val)
  if (snapshot.err) return snapshot
  const through = snapshot.val?.through ?? brand<JournalSequence>(0)
  const journal = await readJournal(table, cell, through)
  return journal.map(content => ({ ...content, configured: maxVersion(content.configured, snapshot.val?.configured), snapshot: snapshot.val, snapshotPointer: pointer.val }))
}

const readNewestSnapshot = async (objects: ObjectStore, log: Log, cell: CellId, { pointer }: VersionedSnapshotPointer): Promise<Result<CellSnapshot | undefined, AuburnpinError>> => {
  let unreadable: AuburnpinError | undefined
  for (const reference of pointer.kept) {
    const snapshot = await readSnapshotObject(objects, reference)
    if (snapshot.ok) return snapshot
    // An unavailable store is no evidence that the snapshot is invalid.
    if (!isUnreadable(snapshot.val)) return snapshot
    log.error('Snapshot is invalid; falling back to the older one', { cell, key: reference.key, reason: snapshot.val.message })
    unreadable = snapshot.val
  }
  // The journal alone is sufficient as long as it has not been trimmed.
  if (unreadable === undefined || pointer.trimmed === 0) return Ok(undefined)
  return Err(unreadable)
}

const isUnreadable = (error: AuburnpinError): boolean => error.kind === 'corrupt' || error.kind === 'version-mismatch'

const readSnapshotObject = async (objects: ObjectStore, reference: SnapshotReference): Promise<Result<CellSnapshot, AuburnpinError>> => {
  const content = await objects.read(reference.key)
  if (content.err) return content
  if (content.val === null) return Err(corrupt(`Snapshot ${reference.key} does not exist`))
  if (digestOf(content.val) !== reference.digest) return Err(corrupt(`Snapshot ${reference.key} does not match its digest`))
  const snapshot = readSnapshot(JSON.parse(Buffer.from(content.val).toString('utf8')), `Snapshot ${reference.key}`)
  if (snapshot.ok && snapshot.val.through !== reference.through) return Err(corrupt(`Snapshot ${reference.key} ends at another record than its pointer states`))
  return snapshot
}

const maxVersion = (left: ConfigVersion, right: ConfigVersion | undefined): ConfigVersion =>
  right === undefined || left >= right ? left : right

type JournalContent = Pick<RecoveredJournal, 'transitions' | 'last' | 'configured'>

const readJournal = async (table: TableStore, cell: CellId, through: JournalSequence): Promise<Result<JournalContent, AuburnpinError>> => {
  const prefix = journalPrefix(cell)
  const rows = await table.listAll(prefix, through === 0 ? '' : journalKey(cell, through))
  if (rows.err) return rows
  const transitions: Transition[] = []
  let last = through
  let configured = brand<ConfigVersion>(0)
  for (const row of rows.val) {
    const sequence = Number(row.key.slice(prefix.length))
    if (sequence !== last + 1) return Err(corrupt(`The journal of cell ${cell} has a gap between records ${last} and ${sequence}`))
    const record = readRecord(row.value, `Journal record ${row.key}`)
    if (record.err) return record
    for (const transition of record.val.transitions) transitions.push(transition)
    configured = maxVersion(configured, record.val.configured)
    last = brand<JournalSequence>(sequence)
  }
  return Ok({ transitions, last, configured })
}

/** Returns the SHA-256 hash of a snapshot's bytes, in hexadecimal. */
export const digestOf = (content: Uint8Array): string => createHash('sha256').update(content).digest('hex')

const corrupt = (message: string): AuburnpinError =>
  new AuburnpinError('corrupt', message, 'Restore the rows or objects from the platform\'s backup; no record was dropped or replaced.')
