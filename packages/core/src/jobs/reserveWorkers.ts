/**
 * Workers that new serving tasks may not use.
 */
import { RESERVED_WORKER_SHARE } from './constants.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Reserves, for each service, a share of the given workers: those with the highest identifiers.
 *
 * @example
 * const reserved = reserveWorkers(candidates)
 */
export const reserveWorkers = (workers: readonly WorkerRecord[]): ReadonlySet<WorkerRecord> => {
  const byService = new Map<string, WorkerRecord[]>()
  for (const worker of workers) {
    const others = byService.get(worker.entry.service)
    if (others === undefined) byService.set(worker.entry.service, [worker])
    else others.push(worker)
  }
  const reserved = new Set<WorkerRecord>()
  for (const ofService of byService.values()) {
    ofService.sort((one, other) => one.entry.id < other.entry.id ? 1 : -1)
    for (const worker of ofService.slice(0, Math.ceil(ofService.length * RESERVED_WORKER_SHARE))) reserved.add(worker)
  }
  return reserved
}
