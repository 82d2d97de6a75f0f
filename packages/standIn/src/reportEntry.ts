/**
 * Converts a worker's entry to the form in which its reports and responses contain it.
 */
import type { WorkerEntry } from './WorkerState.ts'

/** The fields of the worker contract; the rest of the start request is left out. */
export type ReportedEntry = Pick<WorkerEntry, 'state' | 'result' | 'checkpoint' | 'address' | 'throttle'> &
  Pick<WorkerEntry['start'], 'id' | 'attempt'>

/** Selects the fields that leave the worker. */
export const reportEntry = (entry: WorkerEntry): ReportedEntry => ({
  id: entry.start.id,
  attempt: entry.start.attempt,
  state: entry.state,
  result: entry.result,
  checkpoint: entry.checkpoint,
  address: entry.address,
  throttle: entry.throttle
})
