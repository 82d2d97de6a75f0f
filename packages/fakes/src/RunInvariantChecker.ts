/**
 * Checks the invariants of runs against the events of the workers.
 */
import type { TaskName } from '@auburnpin/core'
import type { WorkerEvent } from './FakeJobWorker.ts'

/**
 * Invariants: a task has at most one run at a time, and none after a run that ended as done. An end that was not
 * acknowledged before the worker's lease expired doesn't count: the rules of the workers allow the task to run again.
 *
 * @example
 * const checker = new RunInvariantChecker()
 * new FakeJobWorker('w1', clock, behaviourOf, event => checker.record(event))
 */
export class RunInvariantChecker {
  readonly events: WorkerEvent[] = []
  readonly breaches: string[] = []
  readonly #running = new Map<TaskName, number>()
  readonly #done = new Set<TaskName>()

  record (event: WorkerEvent): void {
    this.events.push(event)
    const { task, at } = event
    const count = this.#running.get(task) ?? 0
    switch (event.kind) {
      case 'unacknowledged':
        if (event.how === 'done') this.#done.delete(task)
        break
      case 'ended':
        this.#running.set(task, count - 1)
        if (event.how === 'done') this.#done.add(task)
        break
      case 'started':
        this.#running.set(task, count + 1)
        if (count > 0) this.breaches.push(`${task} has two runs at ${at}`)
        if (this.#done.has(task)) this.breaches.push(`${task} starts again after it was done, at ${at}`)
    }
  }
}
