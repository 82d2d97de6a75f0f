/**
 * A worker's entry as its reports and answers show it.
 */
import type { WorkerEntry } from './WorkerState.ts'

/** The fields of the worker contract; what was asked for at the start stays inside. */
export type ReportedEntry = Pick<WorkerEntry, 'state' | 'result' | 'checkpoint' | 'address' | 'throttle'> &
  Pick<WorkerEntry['start'], 'id' | 'attempt'>

/** Shows one entry. */
export const reportEntry = (entry: WorkerEntry): ReportedEntry => ({
  id: entry.start.id,
  attempt: entry.start.attempt,
  state: entry.state,
  result: entry.result,
  checkpoint: entry.checkpoint,
  address: entry.address,
  throttle: entry.throttle
})
