/**
 * Processors that the workers of each service have for tasks that end.
 */
import type { ServiceName } from '@auburnpin/common'
import type { WorkerRecord } from './WorkerRecord.ts'

/**
 * Sums, for each service, the processors that are not reserved by serving tasks, in thousandths of a core.
 *
 * @example
 * const shortestMs = job.remainingWork(0) / new ServiceCapacity(workers).of(service)
 */
export class ServiceCapacity {
  readonly #processors = new Map<ServiceName, number>()

  constructor (workers: Iterable<WorkerRecord>) {
    for (const { entry: { service, processors }, servingProcessors } of workers) {
      this.#processors.set(service, (this.#processors.get(service) ?? 0) + Math.max(0, processors - servingProcessors))
    }
  }

  /** 0 if the service has no workers. */
  of (service: ServiceName): number {
    return this.#processors.get(service) ?? 0
  }
}
