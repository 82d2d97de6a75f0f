/**
 * Finds long-running tasks that were not restarted in time, from the events of the workers.
 */
import type { JobId, WorkerId } from '@auburnpin/common'
import { parseTaskName, type Job, type JobStep, type TaskName, type WorkerEntry } from '@auburnpin/core'
import type { WorkerEvent } from '@auburnpin/fakes'

/** Users allow a task 6 s without a run, and 3 s more; that holds if these 3 s and the 4 s before them are calm. */
const RESTART_AFTER_MS = 6_000
const MAX_AWAY_MS = 3_000
const CALM_BEFORE_MS = 4_000

/** A period in which a fault is in force; `from` and `to` are equal for one that takes no time. */
export type Disruption = Readonly<{ what: string, from: number, to: number }>

/** A worker gets into touch or out of it. */
export type ContactChange = Readonly<{ worker: WorkerId, at: number, isInTouch: boolean }>

/** What happened in a story. */
export type StoryRecord = Readonly<{
  seed: number
  workersPerCell: number
  jobs: ReadonlyMap<JobId, Job>
  cancelledAt: ReadonlyMap<JobId, number>
  workers: readonly WorkerEntry[]
  disruptions: readonly Disruption[]
  contactChanges: readonly ContactChange[]
  /** Starts and ends of runs as the workers saw them. */
  events: readonly WorkerEvent[]
  breaches: readonly string[]
  endedAt: number
}>

/** A task that had no run from `endedAt` on, and the 3 s in which it had to have one. */
export type KeptAwayTask = Readonly<{ task: TaskName, endedAt: number, how: string, from: number, to: number, workers: ReadonlySet<WorkerId>, nextStartAt: number | undefined }>

type Gap = Readonly<{ task: TaskName, step: JobStep, endedAt: number, how: string, nextStartAt: number | undefined, until: number }>

type Load = { isInTouch: boolean, processors: number, memoryMb: number, readonly runsOfStep: Map<string, number> }

type Change = Readonly<{ at: number, apply: (loads: ReadonlyMap<WorkerId, Load>) => void }>

/**
 * Returns the tasks of long-running steps of jobs that aren't cancelled which ran, and then had no run for too long
 * although some worker in touch had capacity for them.
 *
 * @example
 * t.deepEqual(findTasksKeptAway(record), [])
 */
export const findTasksKeptAway = (record: StoryRecord): readonly KeptAwayTask[] => {
  const changes = changesOf(record)
  const found: KeptAwayTask[] = []
  for (const gap of findGaps(record)) {
    const period = findUnusedPeriod(gap, record, changes)
    if (period !== undefined) found.push({ task: gap.task, endedAt: gap.endedAt, how: gap.how, nextStartAt: gap.nextStartAt, ...period })
  }
  return found
}

/**
 * Describes a task that was kept away, with the disruptions and cancellations before it.
 *
 * @example
 * t.fail(describeTaskKeptAway(found, record))
 */
export const describeTaskKeptAway = ({ task, endedAt, how, from, to, workers, nextStartAt }: KeptAwayTask, { seed, workersPerCell, disruptions, cancelledAt, events }: StoryRecord): string => {
  const near = [
    ...disruptions.map(disruption => ({ at: disruption.from, text: disruption.to > disruption.from ? `${disruption.what}, until ${Math.round(disruption.to)}` : disruption.what })),
    ...[...cancelledAt].map(([job, at]) => ({ at, text: `job ${job} cancelled` })),
    ...events.filter(event => event.task === task).map(({ at, kind, worker, attempt, how: ending }) => ({ at, text: `run ${attempt} ${kind} on ${worker} ${ending}` }))
  ].filter(({ at }) => at >= endedAt - NEAR_MS && at <= to + NEAR_MS).sort((one, other) => one.at - other.at)
  return [
    `story ${seed}, ${workersPerCell} workers in a cell: ${task} has no run from ${Math.round(endedAt)} (${how}) to ${nextStartAt === undefined ? 'the end' : Math.round(nextStartAt)}; calm and capacity on ${[...workers].join(' ')} from ${Math.round(from)} to ${Math.round(to)}`,
    ...near.map(({ at, text }) => `  ${Math.round(at)} ${text}`)
  ].join('\n')
}

/** Events this long before and after are shown, in milliseconds. */
const NEAR_MS = 8_000

const findGaps = ({ jobs, cancelledAt, events, endedAt }: StoryRecord): Gap[] => {
  const gaps: Gap[] = []
  const lastEnds = new Map<TaskName, WorkerEvent>()
  const addGap = (end: WorkerEvent, nextStartAt: number | undefined): void => {
    const step = stepOfTask(end.task, jobs)
    const parts = parseTaskName(end.task)
    if (step === undefined || parts === undefined || !step.isLasting) return
    const until = Math.min(nextStartAt ?? endedAt, cancelledAt.get(parts.job) ?? Infinity)
    if (until - end.at >= RESTART_AFTER_MS + MAX_AWAY_MS) gaps.push({ task: end.task, step, endedAt: end.at, how: end.how, nextStartAt, until })
  }
  for (const event of events) {
    const { kind, task, at } = event
    const lastEnd = lastEnds.get(task)
    if (kind === 'ended') lastEnds.set(task, event)
    else if (kind === 'started' && lastEnd !== undefined) {
      addGap(lastEnd, at)
      lastEnds.delete(task)
    }
  }
  for (const lastEnd of lastEnds.values()) addGap(lastEnd, undefined)
  return gaps
}

const stepOfTask = (task: TaskName, jobs: ReadonlyMap<JobId, Job>): JobStep | undefined => {
  const parts = parseTaskName(task)
  return parts === undefined ? undefined : jobs.get(parts.job)?.steps[parts.step]
}

const stepKeyOf = (task: TaskName): string => task.slice(0, task.lastIndexOf('.'))

const changesOf = ({ jobs, contactChanges, events }: StoryRecord): readonly Change[] => {
  const changes: Change[] = contactChanges.map(({ worker, at, isInTouch }) => ({ at, apply: loads => { (loads.get(worker) as Load).isInTouch = isInTouch } }))
  for (const { kind, worker, task, at } of events) {
    const step = stepOfTask(task, jobs)
    if (kind === 'unacknowledged' || step === undefined) continue
    const sign = kind === 'started' ? 1 : -1
    changes.push({
      at,
      apply: loads => {
        const load = loads.get(worker) as Load
        // A filler's processors don't count against the capacity of its worker.
        load.processors += sign * (step.isFiller ? 0 : step.processors)
        load.memoryMb += sign * step.memoryMb
        load.runsOfStep.set(stepKeyOf(task), (load.runsOfStep.get(stepKeyOf(task)) ?? 0) + sign)
      }
    })
  }
  return changes.sort((one, other) => one.at - other.at)
}

// The first 3 s on end after the bound that are calm and in which there is always a worker in touch with capacity.
const findUnusedPeriod = (gap: Gap, { workers, disruptions }: StoryRecord, changes: readonly Change[]): Pick<KeptAwayTask, 'from' | 'to' | 'workers'> | undefined => {
  const loads = new Map<WorkerId, Load>(workers.map(({ id }) => [id, { isInTouch: true, processors: 0, memoryMb: 0, runsOfStep: new Map() }]))
  const mustRunFrom = gap.endedAt + RESTART_AFTER_MS
  const edges = [...new Set([mustRunFrom, gap.until, ...changes.map(({ at }) => at), ...disruptions.flatMap(({ from, to }) => [from, to + CALM_BEFORE_MS])])].sort((one, other) => one - other)
  let applied = 0
  let from: number | undefined
  let withCapacity = new Set<WorkerId>()
  for (const [index, edge] of edges.entries()) {
    for (; applied < changes.length && (changes[applied] as Change).at <= edge; applied++) (changes[applied] as Change).apply(loads)
    const to = edges[index + 1]
    if (to === undefined || edge >= gap.until) return undefined
    if (edge < mustRunFrom) continue
    const isDisturbed = disruptions.some(disruption => edge <= disruption.to + CALM_BEFORE_MS && to > disruption.from && edge < disruption.to + CALM_BEFORE_MS)
    const free = isDisturbed ? [] : workers.filter(worker => hasCapacity(gap, worker, loads.get(worker.id) as Load))
    if (free.length === 0) {
      from = undefined
      withCapacity = new Set()
      continue
    }
    from ??= edge
    for (const { id } of free) withCapacity.add(id)
    if (to - from >= MAX_AWAY_MS) return { from, to: from + MAX_AWAY_MS, workers: withCapacity }
  }
  return undefined
}

// Capacity: processors that no other task but a filler uses, memory, and fewer tasks of the step than it allows on one worker.
const hasCapacity = ({ task, step }: Gap, { processors, memoryMb }: WorkerEntry, load: Load): boolean =>
  load.isInTouch && load.processors + step.processors <= processors && load.memoryMb + step.memoryMb <= memoryMb &&
  (step.maxPerWorker === 0 || (load.runsOfStep.get(stepKeyOf(task)) ?? 0) < step.maxPerWorker)
