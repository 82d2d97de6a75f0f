/**
 * Occurrences of a repeating job that an earlier owner has worked on.
 */
import { stepKey } from './StepRecord.ts'
import type { Job, JobProgress } from './types.ts'

/**
 * The numbers of the occurrences that the progress of a job names.
 *
 * @example
 * occurrencesWithProgress(progress) // Set { 0, 3 }
 */
export const occurrencesWithProgress = ({ done, started = {}, failed, checkpoints, crashed = {}, delegations = {} }: JobProgress): ReadonlySet<number> => {
  const occurrences = new Set<number>()
  for (const state of [done, started, failed, checkpoints, crashed, delegations]) {
    for (const key of Object.keys(state)) occurrences.add(Number(key.slice(0, key.indexOf('.'))))
  }
  return occurrences
}

/**
 * Whether the progress of a job says that all tasks of an occurrence are done, and nothing else of them is kept.
 *
 * @example
 * isOccurrenceDone(job, 0, progress) // true
 */
export const isOccurrenceDone = ({ steps }: Job, occurrence: number, { done, delegations = {} }: JobProgress): boolean =>
  steps.every((_step, number) => done[stepKey(occurrence, number)] === 'all') && !Object.keys(delegations).some(key => key.startsWith(`${occurrence}.`))
