/**
 * The order to start a run.
 */
import type { RunRecord } from './TaskRecord.ts'
import type { RunOrder } from './types.ts'

/**
 * The order to start a run on its worker.
 *
 * @example
 * orders.push(startOrder(run))
 */
export const startOrder = ({ task, attempt, worker: { entry: { id, address } } }: RunRecord): RunOrder => {
  const { job: { job: { spec } }, shape } = task.step
  return { kind: 'start', worker: id, address, task: task.name, attempt, spec, checkpoint: task.checkpoint, isLongRunning: shape.isLasting }
}
