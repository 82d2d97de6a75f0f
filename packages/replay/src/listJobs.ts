/**
 * The single jobs behind a trace's lines, with their seeded times.
 */
import { brand, SeededRandom, type TaskId, type TeamName } from '@auburnpin/common'
import type { TaskSpec } from '@auburnpin/core'
import type { Program } from './FakeVm.ts'
import type { Trace } from './Trace.ts'

/** A job to be submitted at a time. */
export type TimedJob = Readonly<{ atMs: number, spec: TaskSpec, program: Program }>

// Seeds of the jobs lie apart from those of the VMs.
const JOB_SEED = 1_000_000

/** All jobs in the order of their submission. */
export const listJobs = (trace: Trace): TimedJob[] => {
  const random = new SeededRandom(trace.region.seed + JOB_SEED)
  const jobs: TimedJob[] = []
  for (const [index, line] of trace.of('jobs').entries()) {
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
      // Run times spread from half to one and a half of the mean.
      const runMs = line.runMs * (0.5 + random.fraction())
      jobs.push({ atMs, spec, program: { runMs, usage: line.usage, fails: line.fails } })
    }
  }
  return jobs.sort((left, right) => left.atMs - right.atMs)
}
