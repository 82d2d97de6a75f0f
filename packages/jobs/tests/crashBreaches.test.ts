import { brand, type Attempt, type JobId, type WorkerId } from '@auburnpin/common'
import type { JobPhase, TaskName } from '@auburnpin/core'
import { jobOf, stepOf, type WorkerEvent } from '@auburnpin/fakes'
import test from 'ava'
import { findCrashBreaches } from './support/findCrashBreaches.ts'

const JOB = jobOf('00000000000000a1', [stepOf()])
const TASK = brand<TaskName>(`${JOB.id}.0.0.0`)

/** Runs of the task one after another, each with the way it ends. */
const eventsOf = (endings: readonly string[]): WorkerEvent[] => endings.flatMap((how, index) => {
  const event = { worker: brand<WorkerId>('w1'), task: TASK, attempt: brand<Attempt>(index + 1), at: index }
  return [{ ...event, kind: 'started', how: '' } as const, { ...event, kind: 'ended', how } as const]
})

const find = (endings: readonly string[], phase: JobPhase, { isCrashing = false, phasesReadAt = 100 } = {}): readonly string[] => findCrashBreaches({
  jobs: new Map([[JOB.id, JOB]]),
  crashingJobs: new Set<JobId>(isCrashing ? [JOB.id] : []),
  phases: new Map([[JOB.id, phase]]),
  phasesReadAt,
  events: eventsOf(endings)
})

test('two starts after the third crash are allowed, and a third is reported', t => {
  t.deepEqual(find(Array.from({ length: 5 }, () => 'crashing'), 'failed', { isCrashing: true }), [])
  t.is(find(Array.from({ length: 6 }, () => 'crashing'), 'failed', { isCrashing: true }).length, 1)
})

test('a task that was on a worker that crashed by other causes may start again without limit', t => {
  t.deepEqual(find([...Array.from({ length: 9 }, () => 'crashed'), 'done'], 'completed'), [])
})

test('a job that failed although none of its runs crashed a worker is reported, unless its runs failed too often', t => {
  t.is(find(['crashed', 'crashed', 'crashed'], 'failed').length, 1)
  t.is(find(['failed', 'lapsed', 'failed'], 'failed').length, 1)
  t.deepEqual(find(['failed', 'failed', 'failed'], 'failed'), [])
})

test('a job with a crashing task that did not fail, or that starts afterwards, is reported', t => {
  t.is(find(['crashing'], 'active', { isCrashing: true }).length, 1)
  t.is(find(['crashing', 'crashing', 'crashing'], 'failed', { isCrashing: true, phasesReadAt: 1 }).length, 1)
})
