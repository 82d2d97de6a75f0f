/**
 * Which run of a long-running task was started last.
 */
import type { Epoch } from '@auburnpin/common'
import type { LateStarts } from './LateStarts.ts'
import type { RunRecord } from './TaskRecord.ts'

/**
 * Records that a report lists a run, unless an order may still be carried out late, so that the next owner waits for no
 * other worker. Returns whether the task's progress must be stored.
 *
 * @example
 * if (recordKnownRun(run, epoch, lateStarts)) unstored.addTask(run.task)
 */
export const recordKnownRun = ({ task, attempt, worker: { entry: { id, incarnation } } }: RunRecord, epoch: Epoch, lateStarts: LateStarts): boolean => {
  const { shape } = task.step
  const known = task.knownRun
  if (!shape.isLasting || shape.isSpeculative || task.runs.length > 1 || lateStarts.has(task)) return false
  if (known?.attempt === attempt && known.worker.id === id && known.worker.incarnation === incarnation && known.isListed) return false
  task.knownRun = { attempt, worker: { id, incarnation }, epoch, isListed: true }
  return true
}
