/**
 * Finds starts that brought a worker over its capacity.
 */
import type { TaskName } from '@auburnpin/core'
import type { FakeJobWorker, WorkerEvent } from './FakeJobWorker.ts'

/**
 * The starts after which a worker ran more than it had, in processors, memory or accelerators. What is being stopped
 * counts until it has ended. A capacity that has shrunk counts `knownAfterMs` later: a start is allowed if everything
 * fits into a capacity that was in force within that time.
 *
 * @example
 * findStartsOverCapacity(simulation.events, simulation.workers.values(), 1_000) // []
 */
export const findStartsOverCapacity = (events: readonly WorkerEvent[], workers: Iterable<FakeJobWorker>, knownAfterMs: number): WorkerEvent[] => {
  const found: WorkerEvent[] = []
  for (const { id, capacity } of workers) {
    const running = new Set<TaskName>()
    for (const event of events) {
      if (event.worker !== id || event.kind === 'unacknowledged') continue
      if (event.kind === 'ended') running.delete(event.task)
      else running.add(event.task)
      if (event.kind === 'started' && !capacity.heldAll(running, event.at - knownAfterMs, event.at)) found.push(event)
    }
  }
  return found
}
