/**
 * Checks the rules for tasks that crash workers, from the events of the workers and the phases of the jobs.
 */
import type { JobId } from '@auburnpin/common'
import { parseTaskName, type Job, type JobPhase, type TaskName } from '@auburnpin/core'
import type { WorkerEvent } from '@auburnpin/fakes'

/** After a task has crashed this many workers it may start only a few more times. */
const CRASHES_TO_GIVE_UP = 3
const MAX_STARTS_AFTERWARDS = 2

/** What happened in a story with tasks that crash their workers. */
export type CrashRecord = Readonly<{
  jobs: ReadonlyMap<JobId, Job>
  /** Jobs with a task that crashes every worker that starts it. */
  crashingJobs: ReadonlySet<JobId>
  /** Phases of the jobs at `phasesReadAt`; some time passed between that and the end of the events. */
  phases: ReadonlyMap<JobId, JobPhase | undefined>
  phasesReadAt: number
  events: readonly WorkerEvent[]
}>

/**
 * Returns the broken rules: after the third crash that its own runs caused, a task starts at most twice; a job with a
 * crashing task fails, and then none of its tasks starts; a job fails only if a run of its tasks crashed a worker or
 * one task's runs have failed as often as its queue allows.
 *
 * @example
 * t.deepEqual(findCrashBreaches(record), [])
 */
export const findCrashBreaches = (record: CrashRecord): readonly string[] => [
  ...findStartsAfterCrashes(record), ...findWrongPhases(record), ...findStartsOfFailedJobs(record)
]

const findStartsAfterCrashes = ({ events }: CrashRecord): string[] => {
  const histories = new Map<TaskName, { crashes: number, lateStarts: string[] }>()
  for (const { kind, how, task, worker, at } of events) {
    const history = histories.get(task) ?? { crashes: 0, lateStarts: [] }
    histories.set(task, history)
    if (kind === 'ended' && how === 'crashing') history.crashes++
    if (kind === 'started' && history.crashes >= CRASHES_TO_GIVE_UP) history.lateStarts.push(`${worker} at ${Math.round(at)}`)
  }
  const breaches: string[] = []
  for (const [task, { lateStarts }] of histories) {
    if (lateStarts.length > MAX_STARTS_AFTERWARDS) breaches.push(`${task} starts ${lateStarts.length} times after its third crash: ${lateStarts.join(', ')}`)
  }
  return breaches
}

const findWrongPhases = (record: CrashRecord): string[] => {
  const breaches: string[] = []
  for (const job of record.jobs.values()) {
    const phase = record.phases.get(job.id)
    if (record.crashingJobs.has(job.id)) {
      if (phase !== 'failed' && phase !== 'cancelled') breaches.push(`job ${job.id} with a crashing task is ${phase}`)
    } else if (phase === 'failed' && !mayFail(job, record)) breaches.push(`job ${job.id} failed, though none of its runs crashed a worker`)
  }
  return breaches
}

const mayFail = ({ id, policy }: Job, { events }: CrashRecord): boolean => {
  const failures = new Map<TaskName, number>()
  for (const { kind, how, task } of events) {
    if (kind !== 'ended' || parseTaskName(task)?.job !== id) continue
    if (how === 'crashing') return true
    if (how === 'failed') failures.set(task, (failures.get(task) ?? 0) + 1)
  }
  return [...failures.values()].some(count => count >= policy.maxAttempts)
}

const findStartsOfFailedJobs = ({ phases, phasesReadAt, events }: CrashRecord): string[] => {
  const breaches: string[] = []
  for (const { kind, task, worker, at } of events) {
    const job = parseTaskName(task)?.job
    if (kind !== 'started' || at <= phasesReadAt || job === undefined || phases.get(job) !== 'failed') continue
    breaches.push(`${task} starts on ${worker} at ${Math.round(at)}, after its job failed`)
  }
  return breaches
}
