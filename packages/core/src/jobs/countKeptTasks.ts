/**
 * Number of tasks that an owner keeps in memory.
 */
import { MAX_OPEN_TASKS_PER_JOB } from './constants.ts'
import type { JobRecord } from './JobRecord.ts'
import type { Job } from './types.ts'

/**
 * Counts the tasks of all occurrences that are open or not forgotten yet.
 *
 * @example
 * countKeptTasks(jobs.values()) // 12_400
 */
export const countKeptTasks = (jobs: Iterable<JobRecord>): number => {
  let tasks = 0
  for (const { occurrences, tasksPerOccurrence } of jobs) tasks += occurrences.size * tasksPerOccurrence
  return tasks
}

/**
 * Most tasks that an owner will keep for a job at the same time.
 *
 * @example
 * mostKeptTasks(job) // 2_000 for 10 tasks that run 10,000 times
 */
export const mostKeptTasks = ({ steps, occurrences }: Job): number => {
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0)
  return Math.min(tasks * Math.max(1, occurrences), Math.max(tasks, MAX_OPEN_TASKS_PER_JOB))
}
