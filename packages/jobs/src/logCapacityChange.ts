/**
 * Logs changes of the capacity of workers.
 */
import type { Log } from '@auburnpin/common'
import type { WorkerEntry, WorkerRecord } from '@auburnpin/core'

/**
 * Logs that the newer entry of a worker's present incarnation shows another capacity; anything else is no change.
 *
 * @example
 * logCapacityChange(scheduler.workers.get(entry.id), entry, log)
 */
export const logCapacityChange = (worker: WorkerRecord | undefined, { id, incarnation, processors, memoryMb, accelerators }: WorkerEntry, log: Log): void => {
  if (worker?.isListed !== true || worker.entry.incarnation !== incarnation) return
  const { entry: before, processorsUsed, memoryUsedMb, acceleratorsUsed } = worker
  if (before.processors === processors && before.memoryMb === memoryMb && before.accelerators === accelerators) return
  log.info('Worker capacity changed', { worker: id, processors, memoryMb, accelerators, processorsBefore: before.processors, memoryMbBefore: before.memoryMb, acceleratorsBefore: before.accelerators, processorsUsed, memoryUsedMb, acceleratorsUsed })
}
