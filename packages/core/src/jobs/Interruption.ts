/**
 * Long-running tasks that have lost their run.
 */
import type { TaskRecord } from './TaskRecord.ts'

/** A long-running task without a run, and for how long; since the start of the term if its last run was in an earlier one. */
export type Interruption = Readonly<{ task: TaskRecord, interruptedMs: number }>
