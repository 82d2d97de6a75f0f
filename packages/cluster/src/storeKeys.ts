/**
 * Keys of the rows and objects that auburnpin stores on the platform.
 */
import type { CellId, ConfigVersion, JournalSequence, MemberId } from '@auburnpin/common'

// The store lists keys in lexicographic order, so numbers in keys are zero-padded to a fixed width.
const NUMBER_WIDTH = 12

const padNumber = (value: number): string => String(value).padStart(NUMBER_WIDTH, '0')

export const CURRENT_CONFIGURATION_KEY = 'config/current'
export const MEMBERS_PREFIX = 'members/'
export const CELLS_PREFIX = 'cells/'
export const REGION_LAYOUT_KEY = 'region/layout'
export const AUDIT_PREFIX = 'audit/'
export const JOURNAL_PREFIX = 'journal/'

export const configurationKey = (version: ConfigVersion): string => `config/${padNumber(version)}`
export const auditKey = (version: ConfigVersion): string => `${AUDIT_PREFIX}${padNumber(version)}`
export const noteKey = (note: string): string => `notes/${note}`
export const memberKey = (member: MemberId): string => `${MEMBERS_PREFIX}${member}`
export const cellKey = (cell: CellId): string => `${CELLS_PREFIX}${cell}`
export const journalPrefix = (cell: CellId): string => `${JOURNAL_PREFIX}${cell}/`
export const journalKey = (cell: CellId, sequence: JournalSequence): string => `${journalPrefix(cell)}${padNumber(sequence)}`
export const snapshotKey = (cell: CellId, sequence: JournalSequence): string => `snapshots/${cell}/${padNumber(sequence)}`
export const snapshotPointerKey = (cell: CellId): string => `snapshots/${cell}`
