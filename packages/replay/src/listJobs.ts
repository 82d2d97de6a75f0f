/**
 * Expands the `jobs` lines of a trace into single jobs with seeded run times.
 */
import { brand, SeededRandom, type TaskId, type TeamName } from '@auburnpin/common'
import type { TaskSpec } from '@auburnpin/core'
import type { TaskBehaviour } from './FakeVm.ts'
import type { Trace } from './Trace.ts'

/** A job and the time at which it is submitted. */
export type TimedJob = Readonly<{ atMs: number, spec: TaskSpec, behaviour: TaskBehaviour }>

// The offset keeps the seed of the jobs apart from those of the VMs, which count up from the trace's seed.
const JOB_SEED_OFFSET = 1_000_000

/** Returns all jobs, sorted by submission time. */
export const listJobs = (trace: Trace): TimedJob[] => {
  const random = new SeededRandom(trace.region.seed + JOB_SEED_OFFSET)
  const jobs: TimedJob[] = []
  for (const [index, line] of trace.linesOf('jobs').entries()) {
    if (line.isWatch) continue
    for (let number = 0; number < line.count; number++) {
      const atMs = line.atMs + Math.floor(line.overMs * number / line.count)
      const spec: TaskSpec = {
        id: brand<TaskId>(`job-${index}-${number}`),
        kind: 'batch',
        isUrgent: line.isUrgent,
        team: brand<TeamName>(line.team),
        resources: line.resources,
        command: line.command,
        acceptedAt: atMs
      }
      // Run times are uniformly distributed between 0.5 and 1.5 times the mean.
      const runMs = line.runMs * (0.5 + random.fraction())
      jobs.push({ atMs, spec, behaviour: { runMs, usage: line.usage, fails: line.fails } })
    }
  }
  return jobs.sort((left, right) => left.atMs - right.atMs)
}
