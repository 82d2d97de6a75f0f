/**
 * All waiting tasks of a cell in their lanes: urgent, replicas, watches, and batch work by team.
 */
import type { Instant, TaskId, TeamName } from '@auburnpin/common'
import type { Task, TaskSpec } from '../cell/types.ts'
import { Lane } from './Lane.ts'

/** Lanes that go before batch work and may evict it, in their order. */
export type PriorityLanes = readonly [urgent: Lane, replicas: Lane, watches: Lane]

/** Keeps up with the cell's state by `change`; takes logarithmic time per task. */
export class WaitingQueue {
  readonly #priority: PriorityLanes = [new Lane(), new Lane(), new Lane()]
  readonly #batch = new Map<TeamName, Lane>()

  get priorityLanes (): PriorityLanes {
    return this.#priority
  }

  /** Batch lanes of the teams that have had work. */
  get teamLanes (): ReadonlyMap<TeamName, Lane> {
    return this.#batch
  }

  /** Takes in the change of one task. */
  change (before: Task | undefined, after: Task | undefined, now: Instant): void {
    const wasWaiting = before?.state === 'queued'
    const isWaiting = after?.state === 'queued'
    if (wasWaiting && !isWaiting) this.laneOf(before.spec).remove(before.spec.id)
    if (!wasWaiting && isWaiting) this.laneOf(after.spec).add(after, now)
  }

  /** The lane in which a task waits. */
  laneOf (spec: TaskSpec): Lane {
    const [urgent, replicas, watches] = this.#priority
    if (spec.isUrgent) return urgent
    if (spec.kind === 'replica') return replicas
    if (spec.kind === 'watch') return watches
    const lane = this.#batch.get(spec.team) ?? new Lane()
    this.#batch.set(spec.team, lane)
    return lane
  }

  /** When the task began to wait. */
  waitingSince (spec: TaskSpec): Instant | undefined {
    return this.laneOf(spec).waitingSince(spec.id)
  }

  /** Up to `count` tasks that wait in the priority lanes, those of the first lane first. */
  firstPriority (count: number): TaskId[] {
    const first: TaskId[] = []
    for (const lane of this.#priority) first.push(...lane.first(count - first.length))
    return first
  }
}
