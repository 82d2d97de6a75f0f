/**
 * Summary of all tasks that wait for a worker.
 */
import type { Instant } from '@auburnpin/common'
import { findObstacles, type WorkerObstacles } from './findObstacles.ts'
import type { JobRecord } from './JobRecord.ts'
import type { JobScheduler } from './JobScheduler.ts'
import type { StepRecord } from './StepRecord.ts'
import { IN_TIME, LATE, timelinessOf } from './timeliness.ts'
import { kindOf, type StepKind } from './WaitingSteps.ts'

/** Whether the jobs of a group can still meet their objective, are late but useful, or useless. */
export type Timeliness = 'in-time' | 'late' | 'useless'

/** The waiting tasks of one kind whose jobs are equally timely. */
export type BacklogGroup = Readonly<{
  kind: StepKind
  timeliness: Timeliness
  jobs: number
  steps: number
  tasks: number
  /** Processors that the tasks need, in thousandths of a core. */
  processors: number
  /** Milliseconds since the oldest of the jobs could first start. */
  oldestMs: number
  /** Jobs without any run, and for how long that of the longest has had none. */
  idleJobs: number
  longestIdleMs: number
  /** The job that has been idle for longest and what keeps its next task from the workers. */
  longestIdle?: IdleExample | undefined
}>

/** One idle job and the obstacles of its next task. */
export type IdleExample = Readonly<{ step: StepRecord, obstacles: WorkerObstacles }>

type Group = { kind: StepKind, timeliness: Timeliness, jobs: Set<JobRecord>, idle: Set<JobRecord>, steps: number, tasks: number, processors: number, oldestMs: number, longestIdleMs: number, longestIdleStep?: StepRecord }

/**
 * Groups all steps with tasks that wait by kind and timeliness; each group describes the job that has been idle for
 * longest. The size of the summary doesn't depend on the number of jobs.
 *
 * @example
 * summariseBacklog(scheduler, now, wallTime)[0]?.idleJobs // 12
 */
export const summariseBacklog = (scheduler: Pick<JobScheduler, 'waits' | 'held' | 'interference' | 'workers'>, now: Instant, wallTime: number): readonly BacklogGroup[] => {
  const { waits: { steps, idleJobs } } = scheduler
  const groups = new Map<string, Group>()
  for (const step of steps) {
    const { job, occurrence, shape, waiting } = step
    if (waiting.size === 0) continue
    const group = groupOf(groups, step, wallTime)
    group.jobs.add(job)
    group.steps++
    group.tasks += waiting.size
    group.processors += waiting.size * shape.processors
    group.oldestMs = Math.max(group.oldestMs, wallTime - job.startsAt(occurrence))
    const idleMs = idleJobs.idleMs(job, now)
    if (idleMs <= 0) continue
    group.idle.add(job)
    if (idleMs <= group.longestIdleMs) continue
    group.longestIdleMs = idleMs
    group.longestIdleStep = step
  }
  return [...groups.values()].map(({ jobs, idle, longestIdleStep, ...group }) =>
    ({ ...group, jobs: jobs.size, idleJobs: idle.size, longestIdle: longestIdleStep === undefined ? undefined : describe(longestIdleStep, scheduler, now) }))
}

const groupOf = (groups: Map<string, Group>, step: StepRecord, wallTime: number): Group => {
  const kind = kindOf(step.shape)
  const rank = timelinessOf(step, wallTime)
  const timeliness = rank === IN_TIME ? 'in-time' : rank === LATE ? 'late' : 'useless'
  const key = `${kind} ${timeliness}`
  const group = groups.get(key) ?? { kind, timeliness, jobs: new Set(), idle: new Set(), steps: 0, tasks: 0, processors: 0, oldestMs: 0, longestIdleMs: 0 }
  groups.set(key, group)
  return group
}

const describe = (step: StepRecord, { workers, held, interference }: Pick<JobScheduler, 'held' | 'interference' | 'workers'>, now: Instant): IdleExample | undefined => {
  const [task] = step.waiting
  return task === undefined ? undefined : { step, obstacles: findObstacles(task, [...workers.values()], held, interference, now) }
}
