/**
 * Workers that are closed to new serving and new long-running tasks.
 */
import type { ServiceName } from '@auburnpin/common'
import { RESERVED_WORKER_SHARE } from './constants.ts'
import { usableProcessors } from './usableProcessors.ts'
import type { Demand } from './ShortTaskDemand.ts'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Number of workers to reserve of a group, so that at least one stays open.
 *
 * @example
 * reservedCount(33) // 4
 * reservedCount(1) // 0
 */
export const reservedCount = (workers: number): number => Math.min(Math.ceil(workers * RESERVED_WORKER_SHARE), Math.max(0, workers - 1))

/**
 * Reserves, for each service, a share of the given workers: those with the highest identifiers, but never all.
 *
 * @example
 * const reserved = reserveWorkers(candidates)
 */
export const reserveWorkers = (workers: readonly WorkerRecord[]): ReadonlySet<WorkerRecord> => {
  const reserved = new Set<WorkerRecord>()
  for (const ofService of groupByService(workers).values()) {
    ofService.sort((one, other) => one.entry.id < other.entry.id ? 1 : -1)
    for (const worker of ofService.slice(0, reservedCount(ofService.length))) reserved.add(worker)
  }
  return reserved
}

/**
 * Chooses the workers that are closed to new long-running tasks in addition to the `constant` share: those with the most
 * processors in pieces that a short task fits into, until all of them together meet the demand or have `maxShare` of the
 * processors of the service. Designed for long-running tasks that leave pieces smaller than a short task on most workers:
 * those workers stay open, as closing them would keep long-running tasks away and give short tasks no room. Workers of
 * `before`, the last choice, are preferred, so that the choice changes little from pass to pass.
 *
 * @example
 * const added = reserveForDemand(candidates, constant, service => demand.of(service, now), 0.3, before)
 */
export const reserveForDemand = (
  workers: readonly WorkerRecord[], constant: ReadonlySet<WorkerRecord>, demandOf: (service: ServiceName) => Demand | undefined, maxShare: number, before: ReadonlySet<WorkerRecord>
): ReadonlySet<WorkerRecord> => {
  const added = new Set<WorkerRecord>()
  for (const [service, ofService] of groupByService(workers)) {
    const demand = demandOf(service)
    if (demand === undefined) continue
    const { taskProcessors } = demand
    let closed = 0
    let usable = 0
    let all = 0
    const ranked: { readonly worker: WorkerRecord, readonly usable: number, readonly rank: number }[] = []
    for (const worker of ofService) {
      const usableHere = usableProcessors(worker, taskProcessors)
      all += worker.entry.processors
      if (constant.has(worker)) {
        closed += worker.entry.processors
        usable += usableHere
      } else if (usableHere > 0) ranked.push({ worker, usable: usableHere, rank: usableHere + (before.has(worker) ? taskProcessors : 0) })
    }
    ranked.sort((one, other) => other.rank - one.rank || (one.worker.entry.id < other.worker.entry.id ? 1 : -1))
    for (const { worker, usable: usableHere } of ranked) {
      if (usable >= demand.processors) break
      if (closed + worker.entry.processors > all * maxShare) continue
      closed += worker.entry.processors
      usable += usableHere
      added.add(worker)
    }
  }
  return added
}

/**
 * The workers of each service.
 *
 * @example
 * groupByService(workers).get(service)?.length // 49
 */
export const groupByService = (workers: Iterable<WorkerRecord>): ReadonlyMap<ServiceName, WorkerRecord[]> => {
  const byService = new Map<ServiceName, WorkerRecord[]>()
  for (const worker of workers) {
    const others = byService.get(worker.entry.service)
    if (others === undefined) byService.set(worker.entry.service, [worker])
    else others.push(worker)
  }
  return byService
}
