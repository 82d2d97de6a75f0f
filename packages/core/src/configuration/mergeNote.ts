/**
 * Merges a release note into the configuration, by name.
 */
import { AuburnpinError, brand, Err, Ok, type ConfigVersion, type NoteId, type Result } from '@auburnpin/common'
import type { Note } from './noteSchema.ts'
import {
  CONFIGURATION_SECTIONS, type Configuration, type ConfigurationChange, type ConfigurationSection, type Declared
} from './types.ts'

/** The configuration before the first note. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: brand<ConfigVersion>(0), services: {}, tasks: {}, teams: {}, limits: {}, drains: {}, evacuations: {}
}

/** The configuration after a note, and what the note changed. */
export type MergeResult = Readonly<{ configuration: Configuration, changes: readonly ConfigurationChange[] }>

type Section = Record<string, Declared<unknown>>

/**
 * Returns the configuration with the note merged in, with the next version number. A name that another note
 * has changed since `base` is a `conflict`; adding a name that exists, or changing or withdrawing one that
 * doesn't, is an `invalid-request`.
 *
 * @example
 * const merged = mergeNote(EMPTY_CONFIGURATION, note, brand<ConfigVersion>(0))
 */
export const mergeNote = (current: Configuration, note: Note, base: ConfigVersion): Result<MergeResult, AuburnpinError> => {
  const version = brand<ConfigVersion>(current.version + 1)
  const changes = listChanges(current, note)
  if (changes.length === 0) return Err(new AuburnpinError('invalid-request', `Note "${note.id}" changes nothing`, 'Put at least one name under added, changed or withdrawn.'))
  for (const change of changes) {
    const error = checkChange(current, change, base)
    if (error !== undefined) return Err(error)
  }
  const sections = Object.fromEntries(CONFIGURATION_SECTIONS.map(section => [section, { ...current[section] } as Section])) as Record<ConfigurationSection, Section>
  for (const change of changes) {
    const section = sections[change.section]
    if (change.action === 'withdrawn') delete section[change.name]
    else section[change.name] = { value: change.after, changedBy: brand<NoteId>(note.id), changedIn: version }
  }
  const configuration = { version, ...sections } as unknown as Configuration
  const missingTeam = checkTeams(configuration)
  if (missingTeam !== undefined) return Err(missingTeam)
  return Ok({ configuration, changes })
}

const listChanges = (current: Configuration, note: Note): ConfigurationChange[] => {
  const changes: ConfigurationChange[] = []
  for (const section of CONFIGURATION_SECTIONS) {
    const existing: Section = current[section]
    for (const action of ['added', 'changed'] as const) {
      for (const [name, after] of Object.entries(note[action][section])) {
        changes.push({ action, section, name, before: existing[name]?.value, after })
      }
    }
    for (const name of note.withdrawn[section]) {
      changes.push({ action: 'withdrawn', section, name, before: existing[name]?.value })
    }
  }
  return changes
}

const checkChange = (current: Configuration, change: ConfigurationChange, base: ConfigVersion): AuburnpinError | undefined => {
  const existing = (current[change.section] as Section)[change.name]
  const label = `${change.section}.${change.name}`
  if (existing !== undefined && existing.changedIn > base) {
    return new AuburnpinError('conflict', `${label} was changed by note "${existing.changedBy}" in version ${existing.changedIn}, after version ${base}`, 'Read the new declaration, then write the note against the current version.')
  }
  if (change.action === 'added' && existing !== undefined) {
    return new AuburnpinError('invalid-request', `${label} already exists, declared by note "${existing.changedBy}"`, 'Put it under changed, or choose another name.')
  }
  if (change.action !== 'added' && existing === undefined) {
    return new AuburnpinError('invalid-request', `${label} does not exist: it was never added, or has been withdrawn`, 'Put it under added, or take it out of the note.')
  }
  return undefined
}

// A team can't be withdrawn while services or tasks belong to it, as running work would then have no quota.
const checkTeams = (configuration: Configuration): AuburnpinError | undefined => {
  const owned = [...Object.entries(configuration.services), ...Object.entries(configuration.tasks)]
  for (const [name, declared] of owned) {
    if (configuration.teams[declared.value.team] === undefined) {
      return new AuburnpinError('invalid-request', `"${name}" belongs to team "${declared.value.team}", which is not declared`, 'Add the team in the same note, or withdraw what belongs to it first.')
    }
  }
  return undefined
}
