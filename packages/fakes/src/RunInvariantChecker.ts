/**
 * Checks the invariants of runs against the events of the workers.
 */
import type { TaskName } from '@auburnpin/core'
import type { WorkerEvent } from './FakeJobWorker.ts'

/** Longest time in which an end is reported while an order is on its way, in milliseconds, between sound workers and links. */
const ORDER_IN_FLIGHT_MS = 20

/**
 * Invariants: a task has at most one run at a time, and none after a run that ended as done. An end that was not
 * acknowledged before the worker's lease expired doesn't count: the rules of the workers allow the task to run again.
 * Tasks that `allowsCopies` accepts have at most two runs at a time, and a start that was ordered just before their end counts as before it.
 *
 * @example
 * const checker = new RunInvariantChecker()
 * new FakeJobWorker('w1', clock, behaviourOf, event => checker.record(event))
 */
export class RunInvariantChecker {
  readonly events: WorkerEvent[] = []
  readonly breaches: string[] = []
  readonly #running = new Map<TaskName, number>()
  /** When the runs ended that ended as done. */
  readonly #done = new Map<TaskName, readonly number[]>()
  readonly #allowsCopies: (task: TaskName) => boolean

  constructor (allowsCopies: (task: TaskName) => boolean = () => false) {
    this.#allowsCopies = allowsCopies
  }

  record (event: WorkerEvent): void {
    this.events.push(event)
    const { task, at } = event
    const count = this.#running.get(task) ?? 0
    const doneAt = this.#done.get(task) ?? []
    const allowsCopies = this.#allowsCopies(task)
    switch (event.kind) {
      case 'unacknowledged':
        if (event.how === 'done') this.#done.set(task, doneAt.slice(0, -1))
        break
      case 'ended':
        this.#running.set(task, count - 1)
        if (event.how === 'done') this.#done.set(task, [...doneAt, at])
        break
      case 'started':
        this.#running.set(task, count + 1)
        if (count > (allowsCopies ? 1 : 0)) this.breaches.push(`${task} has ${count === 1 ? 'two' : 'three'} runs at ${at}`)
        if (at - (doneAt[0] ?? Infinity) > (allowsCopies ? ORDER_IN_FLIGHT_MS : -1)) this.breaches.push(`${task} starts again after it was done, at ${at}`)
    }
  }
}
