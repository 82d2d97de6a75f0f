/**
 * Occurrences of a repeating job that an earlier owner has worked on.
 */
import type { JobProgress } from './types.ts'

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
