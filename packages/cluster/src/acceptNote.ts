/**
 * Accepts a release note: one transaction stores the merged configuration as the current one and writes the audit trail.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type ConfigVersion, type NoteId, type Random, type Result, type RowVersion } from '@auburnpin/common'
import { dateEvacuations, EMPTY_CONFIGURATION, mergeNote, type AuditEntry, type Configuration, type ConfigurationChange, type Note } from '@auburnpin/core'
import { newTransactionId, type RowCheck, type TableStore } from '@auburnpin/ports'
import { KEPT_CONFIGURATIONS, MAX_NOTE_MERGES } from './constants.ts'
import { auditKey, configurationKey, CURRENT_CONFIGURATION_KEY, noteKey } from './storeKeys.ts'

/** The row that holds the version of the current configuration. */
export type CurrentVersionRow = Readonly<{ version: ConfigVersion }>

/** The result of accepting a note. */
export type Acceptance = Readonly<{
  version: ConfigVersion
  changes: readonly ConfigurationChange[]
  /** Whether a note with this id had been accepted before, so that this call changed nothing. */
  isRepeat: boolean
}>

/** Dependencies of `acceptNote`. */
export type AcceptancePorts = Readonly<{ table: TableStore, clock: Clock, random: Random }>

/** The current configuration, with the check that it is still current when a transaction commits. */
export type CurrentConfiguration = Readonly<{ configuration: Configuration, check: RowCheck }>

/**
 * Merges the note into the current configuration and stores the result; merges again if another note was accepted first.
 *
 * @example
 * const acceptance = await acceptNote({ table, clock, random }, note, 'ops@lanka')
 */
export const acceptNote = async (ports: AcceptancePorts, note: Note, operator: string): Promise<Result<Acceptance, AuburnpinError>> => {
  let base = note.base === undefined ? undefined : brand<ConfigVersion>(note.base)
  for (let rebase = 0; rebase < MAX_NOTE_MERGES; rebase++) {
    const earlier = await readAcceptance(ports.table, note)
    if (earlier.err) return earlier
    if (earlier.val !== null) return Ok(earlier.val)
    const current = await readCurrentConfiguration(ports.table)
    if (current.err) return current
    base ??= current.val.configuration.version
    const merged = mergeNote(current.val.configuration, note, base)
    if (merged.err) return merged
    const { changes } = merged.val
    const acceptedAt = ports.clock.wallTime()
    const configuration: Configuration = { ...dateEvacuations(current.val.configuration, merged.val.configuration, acceptedAt), acceptedAt }
    const reason = note.reason === undefined ? {} : { reason: note.reason }
    const entry: AuditEntry = { version: configuration.version, note: brand<NoteId>(note.id), operator, acceptedAt, ...reason, changes }
    const outcome = await ports.table.transact({
      id: newTransactionId(ports.random),
      checks: [current.val.check, { kind: 'absent', key: noteKey(note.id) }],
      puts: [
        { key: CURRENT_CONFIGURATION_KEY, value: { version: configuration.version } },
        { key: configurationKey(configuration.version), value: configuration },
        { key: auditKey(configuration.version), value: entry },
        { key: noteKey(note.id), value: { version: configuration.version } }
      ],
      deletes: outdatedKeys(configuration.version)
    })
    if (outcome.err) return outcome
    if (outcome.val.kind === 'committed') return Ok({ version: configuration.version, changes, isRepeat: false })
  }
  return Err(new AuburnpinError('overloaded', `Note "${note.id}" conflicted with other notes ${MAX_NOTE_MERGES} times`, 'Apply it again when fewer notes are applied concurrently.'))
}

const outdatedKeys = (version: ConfigVersion): string[] =>
  version > KEPT_CONFIGURATIONS ? [configurationKey(brand<ConfigVersion>(version - KEPT_CONFIGURATIONS))] : []

/** Reads the earlier acceptance of a note; `null` if the note was never accepted. */
export const readAcceptance = async (table: TableStore, note: Note): Promise<Result<Acceptance | null, AuburnpinError>> => {
  const row = await table.read(noteKey(note.id))
  if (row.err) return row
  if (row.val === null) return Ok(null)
  const { version } = row.val.value as CurrentVersionRow
  const audit = await table.read(auditKey(version))
  if (audit.err) return audit
  const changes = (audit.val?.value as AuditEntry | undefined)?.changes ?? []
  return Ok({ version, changes, isRepeat: true })
}

/** Reads the current configuration from the store. */
export const readCurrentConfiguration = async (table: TableStore): Promise<Result<CurrentConfiguration, AuburnpinError>> => {
  const row = await table.read(CURRENT_CONFIGURATION_KEY)
  if (row.err) return row
  if (row.val === null) return Ok({ configuration: EMPTY_CONFIGURATION, check: { kind: 'absent', key: CURRENT_CONFIGURATION_KEY } })
  const configuration = await readConfiguration(table, (row.val.value as CurrentVersionRow).version)
  const version: RowVersion = row.val.version
  return configuration.map(found => ({ configuration: found, check: { kind: 'version', key: CURRENT_CONFIGURATION_KEY, version } }))
}

/** Reads one version of the configuration. */
export const readConfiguration = async (table: TableStore, version: ConfigVersion): Promise<Result<Configuration, AuburnpinError>> => {
  const row = await table.read(configurationKey(version))
  if (row.err) return row
  if (row.val === null) return Err(new AuburnpinError('not-found', `Version ${version} of the configuration is missing`, 'Restore the row from the platform\'s backup.'))
  // A row written by an earlier release lacks the sections that were added later.
  return Ok({ ...EMPTY_CONFIGURATION, ...(row.val.value as Configuration) })
}
