/**
 * Rows of the jobs table by which two cells share a job: one tells of the tasks that its own cell delegates to another, the
 * other of what has become of them.
 */
import { brand, type CellId, type JobId } from '@auburnpin/common'
import type { DelegatedTasks, Job } from '@auburnpin/core'
import { areDelegations, isSoundJob, isSoundProgress, parseRow } from './rows.ts'

/** The tasks that a job's own cell delegates to another one. Without tasks, the other cell needs no more than that. */
export type DelegationRow = Readonly<DelegatedTasks & { job?: Job, home: CellId }>

/** What a cell has stored of the tasks that were delegated to it. */
export type DelegationReport = DelegatedTasks

const DELEGATION_SEPARATOR = '~to-'
const REPORT_SEPARATOR = '~by-'

/** Key of the row that tells a cell of the tasks of a job that are delegated to it. */
export const delegationKey = (job: JobId, delegate: CellId): string => `${job}${DELEGATION_SEPARATOR}${delegate}`

/** Key of the row that tells the job's own cell of these tasks. */
export const reportKey = (job: JobId, delegate: CellId): string => `${job}${REPORT_SEPARATOR}${delegate}`

/** What the key of such a row tells. */
export type DelegationRowName = Readonly<{ kind: 'delegation' | 'report', job: JobId, delegate: CellId }>

/**
 * Reads the key of a row that two cells share; `undefined` for any other row of the jobs table.
 *
 * @example
 * parseDelegationKey('5c0e7a21d94b36f8~to-cell-1')?.delegate // 'cell-1'
 */
export const parseDelegationKey = (key: string): DelegationRowName | undefined => {
  for (const [kind, separator] of [['delegation', DELEGATION_SEPARATOR], ['report', REPORT_SEPARATOR]] as const) {
    const at = key.lastIndexOf(separator)
    if (at > 0) return { kind, job: brand<JobId>(key.slice(0, at)), delegate: brand<CellId>(key.slice(at + separator.length)) }
  }
  return undefined
}

const PROGRESS_SHAPE = { phase: '', done: {}, failed: {}, checkpoints: {} }

/** Reads what a job's own cell delegates; `undefined` if the value is invalid. */
export const readDelegationRow = (value: string, job: JobId): DelegationRow | undefined => {
  const row = parseRow<DelegationRow>(value, { home: '', delegations: {}, progress: PROGRESS_SHAPE })
  if (row === undefined || !areDelegations(row.delegations) || !isSoundProgress(row.progress)) return undefined
  const isComplete = Object.keys(row.delegations).length === 0 || (isSoundJob(row.job) && row.job.id === job)
  return isComplete ? row : undefined
}

/** Reads what a cell reports; `undefined` if the value is invalid. */
export const readDelegationReport = (value: string): DelegationReport | undefined => {
  const report = parseRow<DelegationReport>(value, { delegations: {}, progress: PROGRESS_SHAPE })
  return report !== undefined && areDelegations(report.delegations) && isSoundProgress(report.progress) ? report : undefined
}
