/**
 * All waiting tasks of a cell by queue: urgent, replicas, watches, and one queue of batch tasks per team.
 */
import type { Instant, TaskId, TeamName } from '@auburnpin/common'
import type { Task, TaskSpec } from '../cell/types.ts'
import { TaskQueue } from './TaskQueue.ts'

/** Queues that are served before batch tasks and may evict them, highest priority first. */
export type PriorityQueues = readonly [urgent: TaskQueue, replicas: TaskQueue, watches: TaskQueue]

/** Updated by `change`, in logarithmic time per task. */
export class WaitingTasks {
  readonly #priorityQueues: PriorityQueues = [new TaskQueue(), new TaskQueue(), new TaskQueue()]
  readonly #teamQueues = new Map<TeamName, TaskQueue>()

  get priorityQueues (): PriorityQueues {
    return this.#priorityQueues
  }

  /** Batch queues of all teams that have submitted work. */
  get teamQueues (): ReadonlyMap<TeamName, TaskQueue> {
    return this.#teamQueues
  }

  /** Records the change of one task. */
  change (before: Task | undefined, after: Task | undefined, now: Instant): void {
    const wasWaiting = before?.state === 'queued'
    const isWaiting = after?.state === 'queued'
    if (wasWaiting && !isWaiting) this.queueOf(before.spec).remove(before.spec.id)
    if (!wasWaiting && isWaiting) this.queueOf(after.spec).add(after, now)
  }

  /** The queue of a task. */
  queueOf (spec: TaskSpec): TaskQueue {
    const [urgent, replicas, watches] = this.#priorityQueues
    if (spec.isUrgent) return urgent
    if (spec.kind === 'replica') return replicas
    if (spec.kind === 'watch') return watches
    const queue = this.#teamQueues.get(spec.team) ?? new TaskQueue()
    this.#teamQueues.set(spec.team, queue)
    return queue
  }

  /** When the task began to wait. */
  waitingSince (spec: TaskSpec): Instant | undefined {
    return this.queueOf(spec).waitingSince(spec.id)
  }

  /** Up to `count` tasks of each priority queue, highest priority first, so that no queue keeps another from its turn. */
  firstPriorityTasks (count: number): TaskId[] {
    return this.#priorityQueues.flatMap(queue => queue.first(count))
  }
}
