/**
 * Accepts a release note: one transaction makes it the current configuration and writes the audit trail.
 */
import { AuburnpinError, brand, Err, Ok, type Clock, type ConfigVersion, type NoteId, type Random, type Result, type RowVersion } from '@auburnpin/common'
import { EMPTY_CONFIGURATION, mergeNote, type AuditEntry, type Configuration, type ConfigurationChange, type Note } from '@auburnpin/core'
import { newTransactionId, type RowCheck, type TableStore } from '@auburnpin/ports'
import { KEPT_CONFIGURATIONS, MAX_REBASES } from './constants.ts'
import { auditKey, configurationKey, CURRENT_CONFIGURATION_KEY, noteKey } from './storeKeys.ts'

/** The current version as its row tells it. */
export type CurrentRow = Readonly<{ version: ConfigVersion }>

/** What became of a note. */
export type Acceptance = Readonly<{
  version: ConfigVersion
  changes: readonly ConfigurationChange[]
  /** Whether the same id had been accepted before; then nothing was changed now. */
  isRepeat: boolean
}>

/** What accepting a note needs. */
export type AcceptancePorts = Readonly<{ table: TableStore, clock: Clock, random: Random }>

/** The configuration that a new note would be merged into, with the check that it still is the current one. */
export type Current = Readonly<{ configuration: Configuration, check: RowCheck }>

/**
 * Merges the note into the current configuration and stores it, starting over when another note came first.
 *
 * @example
 * const acceptance = await acceptNote({ table, clock, random }, note, 'ops@lanka')
 */
export const acceptNote = async (ports: AcceptancePorts, note: Note, operator: string): Promise<Result<Acceptance, AuburnpinError>> => {
  let base = note.base === undefined ? undefined : brand<ConfigVersion>(note.base)
  for (let rebase = 0; rebase < MAX_REBASES; rebase++) {
    const earlier = await readAcceptance(ports.table, note)
    if (earlier.err) return earlier
    if (earlier.val !== null) return Ok(earlier.val)
    const current = await readCurrent(ports.table)
    if (current.err) return current
    base ??= current.val.configuration.version
    const merged = mergeNote(current.val.configuration, note, base)
    if (merged.err) return merged
    const { changes } = merged.val
    const acceptedAt = ports.clock.wallTime()
    const configuration: Configuration = { ...merged.val.configuration, acceptedAt }
    const entry: AuditEntry = { version: configuration.version, note: brand<NoteId>(note.id), operator, acceptedAt, changes }
    const outcome = await ports.table.transact({
      id: newTransactionId(ports.random),
      checks: [current.val.check, { kind: 'absent', key: noteKey(note.id) }],
      puts: [
        { key: CURRENT_CONFIGURATION_KEY, value: { version: configuration.version } },
        { key: configurationKey(configuration.version), value: configuration },
        { key: auditKey(configuration.version), value: entry },
        { key: noteKey(note.id), value: { version: configuration.version } }
      ],
      deletes: listOutdated(configuration.version)
    })
    if (outcome.err) return outcome
    if (outcome.val.kind === 'committed') return Ok({ version: configuration.version, changes, isRepeat: false })
  }
  return Err(new AuburnpinError('overloaded', `Note "${note.id}" was overtaken ${MAX_REBASES} times`, 'Apply it again when fewer notes come at once.'))
}

const listOutdated = (version: ConfigVersion): string[] =>
  version > KEPT_CONFIGURATIONS ? [configurationKey(brand<ConfigVersion>(version - KEPT_CONFIGURATIONS))] : []

/** What became of the note when it was accepted, `null` if it never was. */
export const readAcceptance = async (table: TableStore, note: Note): Promise<Result<Acceptance | null, AuburnpinError>> => {
  const row = await table.read(noteKey(note.id))
  if (row.err) return row
  if (row.val === null) return Ok(null)
  const { version } = row.val.value as CurrentRow
  const audit = await table.read(auditKey(version))
  if (audit.err) return audit
  const changes = (audit.val?.value as AuditEntry | undefined)?.changes ?? []
  return Ok({ version, changes, isRepeat: true })
}

/** The current configuration as the store has it. */
export const readCurrent = async (table: TableStore): Promise<Result<Current, AuburnpinError>> => {
  const row = await table.read(CURRENT_CONFIGURATION_KEY)
  if (row.err) return row
  if (row.val === null) return Ok({ configuration: EMPTY_CONFIGURATION, check: { kind: 'absent', key: CURRENT_CONFIGURATION_KEY } })
  const configuration = await readConfiguration(table, (row.val.value as CurrentRow).version)
  const version: RowVersion = row.val.version
  return configuration.map(found => ({ configuration: found, check: { kind: 'version', key: CURRENT_CONFIGURATION_KEY, version } }))
}

/** One version of the configuration. */
export const readConfiguration = async (table: TableStore, version: ConfigVersion): Promise<Result<Configuration, AuburnpinError>> => {
  const row = await table.read(configurationKey(version))
  if (row.err) return row
  if (row.val === null) return Err(new AuburnpinError('not-found', `Version ${version} of the configuration is missing`, 'Restore the row from the platform\'s backup.'))
  // A row of an earlier release lacks the sections that came later.
  return Ok({ ...EMPTY_CONFIGURATION, ...(row.val.value as Configuration) })
}
