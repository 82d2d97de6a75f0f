/**
 * Summarises a cell's tasks in numbers.
 */
import type { Task, TaskState } from '../cell/types.ts'

/** Every state of a task, in the order in which a task passes through them. */
export const TASK_STATES = ['queued', 'starting', 'running', 'evicting', 'unrunnable', 'finished', 'failed', 'cancelled'] as const satisfies readonly TaskState[]

/** Number of tasks by state, evictions and the age of the queue. */
export type CellSummary = Readonly<{
  states: Readonly<Record<TaskState, number>>
  /** Evictions of all tasks that the cell has not forgotten. */
  evictions: number
  /** Wall clock of the longest waiting submitted job, milliseconds since 1970; `null` when none waits. */
  oldestQueuedAt: number | null
}>

/**
 * Counts tasks.
 *
 * @example
 * summariseTasks(cell.state.tasks.values()).states.queued
 */
export const summariseTasks = (tasks: Iterable<Task>): CellSummary => {
  const states: Record<TaskState, number> = { queued: 0, starting: 0, running: 0, evicting: 0, unrunnable: 0, finished: 0, failed: 0, cancelled: 0 }
  let evictions = 0
  let oldestQueuedAt: number | null = null
  for (const task of tasks) {
    states[task.state]++
    evictions += task.evictions
    // Declared tasks have no time of acceptance; their `acceptedAt` is 0.
    if (task.state !== 'queued' || task.spec.acceptedAt === 0) continue
    oldestQueuedAt = Math.min(oldestQueuedAt ?? Infinity, task.spec.acceptedAt)
  }
  return { states, evictions, oldestQueuedAt }
}
