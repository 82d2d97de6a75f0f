/**
 * Which occurrences of a repeating job are opened now.
 */
import { MAX_OPEN_TASKS_PER_JOB } from './constants.ts'
import type { JobRecord } from './JobRecord.ts'

/**
 * Due occurrences of which the job keeps the tasks from now on. A job has a limited number of open tasks, and at least one
 * open occurrence: first come those whose result is still useful, the latest first, then the others in their order.
 *
 * @example
 * for (const occurrence of openableOccurrences(record, wallTime)) record.createOccurrence(occurrence)
 */
export function * openableOccurrences (record: JobRecord, wallTime: number): Generator<number> {
  const { firstRunAt, intervalMs, occurrences } = record.job
  const due = Math.min(occurrences, Math.floor((wallTime - firstRunAt) / Math.max(1, intervalMs)) + 1)
  for (let occurrence = due - 1; occurrence >= record.done.firstOpen && wallTime <= record.uselessAfter(occurrence); occurrence--) {
    if (isFull(record)) return
    if (isUnopened(record, occurrence)) yield occurrence
  }
  for (let occurrence = record.done.firstOpen; occurrence < due; occurrence++) {
    if (isFull(record)) return
    if (isUnopened(record, occurrence)) yield occurrence
  }
}

const isUnopened = (record: JobRecord, occurrence: number): boolean => !record.done.has(occurrence) && !record.occurrences.has(occurrence)

const isFull = ({ occurrences, tasksPerOccurrence }: JobRecord): boolean =>
  occurrences.size > 0 && (occurrences.size + 1) * tasksPerOccurrence > MAX_OPEN_TASKS_PER_JOB
