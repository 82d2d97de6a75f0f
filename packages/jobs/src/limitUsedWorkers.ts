/**
 * The workers that one commit can record.
 */
import { MAX_USED_WORKERS, MAX_USED_WORKERS_BYTES } from './constants.ts'
import type { UsedWorker } from './rows.ts'

/**
 * All workers, or as many as one commit can record. Those that are recorded already stay, as they may have runs; an
 * owner sends no order to a worker that isn't recorded.
 *
 * @example
 * limitUsedWorkers(workers, worker => durable.has(worker.id))
 */
export const limitUsedWorkers = (workers: readonly UsedWorker[], isRecorded: (worker: UsedWorker) => boolean): readonly UsedWorker[] => {
  const bytes = workers.map(worker => Buffer.byteLength(JSON.stringify(worker)))
  if (workers.length <= MAX_USED_WORKERS && bytes.reduce((sum, ofWorker) => sum + ofWorker, 0) <= MAX_USED_WORKERS_BYTES) return workers
  const kept: UsedWorker[] = []
  let keptBytes = 0
  for (const worker of [...workers.filter(isRecorded), ...workers.filter(worker => !isRecorded(worker))]) {
    keptBytes += Buffer.byteLength(JSON.stringify(worker))
    if (kept.length >= MAX_USED_WORKERS || keptBytes > MAX_USED_WORKERS_BYTES) break
    kept.push(worker)
  }
  return kept
}
