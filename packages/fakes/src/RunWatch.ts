/**
 * Watches what workers really do and notes each broken promise.
 */
import type { TaskName } from '@auburnpin/core'
import type { WorkerEvent } from './FakeJobWorker.ts'

/**
 * A task runs at most once at a time, and never again after its end was done. An end that nobody took note of
 * before its worker's lease ran out doesn't count: the rule of the workers lets the task run again.
 *
 * @example
 * const watch = new RunWatch()
 * new FakeJobWorker('w1', clock, course, event => watch.see(event))
 */
export class RunWatch {
  readonly events: WorkerEvent[] = []
  readonly breaches: string[] = []
  readonly #running = new Map<TaskName, number>()
  readonly #done = new Set<TaskName>()

  see (event: WorkerEvent): void {
    this.events.push(event)
    const { task, at } = event
    const count = this.#running.get(task) ?? 0
    switch (event.kind) {
      case 'voided':
        if (event.how === 'done') this.#done.delete(task)
        break
      case 'ended':
        this.#running.set(task, count - 1)
        if (event.how === 'done') this.#done.add(task)
        break
      case 'started':
        this.#running.set(task, count + 1)
        if (count > 0) this.breaches.push(`${task} runs twice at ${at}`)
        if (this.#done.has(task)) this.breaches.push(`${task} starts again after it was done, at ${at}`)
    }
  }
}
