/**
 * Capacity of each service for tasks that end by themselves.
 */
import type { Instant } from '@auburnpin/common'
import type { WorkerRecord } from './WorkerRecord.ts'

/** `processors`: those that long-running tasks leave, in thousandths of a core. */
export type ServiceWorkers = { processors: number, hasIdleWorker: boolean }

/**
 * For each service, what its listed workers offer and whether one of them runs nothing.
 *
 * @example
 * summariseServices(workers, now).get('desk') // { processors: 412_000, hasIdleWorker: false }
 */
export const summariseServices = (workers: Iterable<WorkerRecord>, now: Instant): ReadonlyMap<string, ServiceWorkers> => {
  const services = new Map<string, ServiceWorkers>()
  for (const worker of workers) {
    const { service, processors } = worker.entry
    const summary = services.get(service) ?? { processors: 0, hasIdleWorker: false }
    if (worker.isListed && worker.evacuation !== 'evacuated') summary.processors += Math.max(0, processors - worker.lasting.processors)
    if (worker.runs.size === 0 && worker.acceptsWork(now)) summary.hasIdleWorker = true
    services.set(service, summary)
  }
  return services
}
